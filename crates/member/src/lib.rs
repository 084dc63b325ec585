/*!
Which entries read the store, and how the others learn what they have read.

If every entry polls the store, the calls grow with the fleet, whatever happens in it. So in each
availability zone a few entries, the readers, follow the store, and the others follow a reader. The
parts:

- [`Roster`] holds the rows of the entries, and [`Presence`] says for what a silent one counts.
- [`readers`] chooses the readers of a zone: by power, so that a weak VM is none, and the same ones
  in every entry that knows the same members. Nothing has to be agreed: an entry that is asked
  although others do not take it for a reader answers with what it knows and how old that is.
- [`Sources`] is what an entry polls next: a reader that answers, or else the store.
- [`Pace`] is how often that is done, and until when, so that news is known everywhere in time.
- [`Backoff`] is how long an entry waits before it repeats a call that failed.
- [`ChangeLog`] is what a reader remembers of changes, so that it passes on only those that are new,
  and [`RowLog`] what it remembers of the rows of other tables.
- [`Coverage`] says when an entry polls such a table itself.

Weighed against it: gossip among all entries, whose delay grows with the fleet and has no bound; and
the leader as the only reader, which its loss or a cut zone would leave without news. A zone that is
cut off from the others keeps its readers.

Every decision is a function of its arguments; this crate does no I/O and reads no clock. See
docs/SCALE.md.
*/

mod backoff;
mod change;
mod coverage;
mod pace;
mod presence;
mod reader;
mod roster;
mod row_log;
mod source;

pub use crate::{
    backoff::Backoff,
    change::ChangeLog,
    coverage::{Coverage, Step},
    pace::{Pace, Question},
    presence::Presence,
    reader::{Member, Reader, has_followers, readers},
    roster::Roster,
    row_log::{News, RowLog},
    source::{Source, Sources},
};
