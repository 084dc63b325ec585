/*!
A router for servers that own keys exclusively.

This crate is a thin façade: each area of the product is a crate of its own, and what a program needs
to embed an entry or to read its answers is re-exported here. The command line is the binary of the
same name. Start with docs/DESIGN.md.

```
let text = almondworks::OperatorConfig::parse(r#"{ "services": [{ "name": "packs" }] }"#)?;
assert_eq!(text.services.len(), 1);
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
