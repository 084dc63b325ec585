//! The data path: from the connections of callers to those of targets.

pub(crate) mod admitted;
pub(crate) mod attempt;
pub(crate) mod body;
pub(crate) mod claim;
pub(crate) mod handle;
pub(crate) mod refusal;
pub(crate) mod server;
pub(crate) mod service;
pub(crate) mod target;
pub(crate) mod tracker;
