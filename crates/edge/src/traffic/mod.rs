//! The data path: from a caller's connection to a target and back.

pub(crate) mod admission;
pub(crate) mod attempt;
pub(crate) mod attempts;
pub(crate) mod body;
pub(crate) mod choose;
pub(crate) mod condition;
pub(crate) mod handle;
pub(crate) mod notice;
pub(crate) mod refusal;
pub(crate) mod relay;
pub(crate) mod reported;
pub(crate) mod server;
pub(crate) mod target;
pub(crate) mod warming;
