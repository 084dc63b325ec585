/*!
Rate limits of targets, and how all entries together keep to them.

Two kinds of limits bind all entries together: those that targets name in their answers, and those
of targets that are cold after a start.

A target in need names in its answers how many requests per second it takes from all entries. The
rate belongs to the target but the requests come through many entries, so no entry can keep the
limit alone. The parts:

- [`Table`] is what one entry knows of limited targets. Answers and other entries fill it; the most
  recent word about a target wins.
- [`Bucket`] hands out the permits of one target. One entry, the coordinator of that target, keeps
  it and the others ask there before each request, so permits go to the entries that have requests.
- [`Board`] is kept by the leader. It chooses a coordinator for each limited target among the
  entries that report, and tells every entry what has changed.
- [`EvenShare`] is what an entry may send without a permit while no coordinator answers: its part
  of the limit divided by the number of entries. An entry that is cut off never gets more.

For cold targets there are other parts with the same exchange, since their limit applies before the
first response, for hundreds of targets at once, and begins without a word of the leader:
[`Warmups`], [`Pacer`] and [`Coordinators`]. See docs/design/warm-up.md.

Weighed against it: shares that the leader assigns by reported demand. With more entries than
permits in a few seconds, a share is a fraction of a request, and permits lie unused where no
request arrives. Asking costs one exchange between two entries for a request to a limited target,
and nothing for all others.

Every decision is a function of its arguments; this crate does no I/O and reads no clock. See
docs/PLATFORM.md.
*/

mod board;
mod bucket;
mod cold;
mod rate;
mod share;
mod table;

pub use crate::{
    board::{Board, Candidate, Update},
    bucket::{Bucket, Permit, Request},
    cold::{
        Bound, Coordinators, MAX_USE_DELAY, Outcomes, Pacer, Question, Registered, Stage, Warmups,
    },
    rate::{Rate, Word},
    share::EvenShare,
    table::{Change, Limit, Table},
};
