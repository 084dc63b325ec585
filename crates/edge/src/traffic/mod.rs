//! The data path.

pub(crate) mod attempt;
pub(crate) mod body;
pub(crate) mod choose;
pub(crate) mod handle;
pub(crate) mod refusal;
pub(crate) mod server;
pub(crate) mod target;
