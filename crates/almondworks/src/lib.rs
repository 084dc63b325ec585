/*!
A request router for servers that own keys exclusively.

This crate is a thin façade: each area of the router is a crate of its own. This one re-exports the
items that a program needs to embed an entry or to parse its responses, so that such a program
depends on one crate only. The command line is the binary of the same name. For the design, see
docs/DESIGN.md.

```
let config = almondworks::OperatorConfig::parse(r#"{ "services": [{ "name": "packs" }] }"#)?;
assert_eq!(config.services.len(), 1);
# Ok::<_, almondworks::ConfigError>(())
```
*/

pub use {
    conf::{Error as ConfigError, OperatorConfig, Settings},
    entry::{Error as EntryError, run},
    key::{Process, Service, Shard, Vm, Zone, shard_of},
    own::Decision,
    report::Record,
    route::{Outcome, Reason},
};
