//! The failures between entries.

use {
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    thiserror::Error as Derive,
};

/// Why a peer did not do what it was asked.
#[derive(Clone, Debug, Derive, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The peers belong to different clusters.
    #[error("the peer belongs to cluster `{0}`")]
    Cluster(SmolStr),
    /// The peers speak different versions of the protocol.
    #[error("the peer speaks protocol version {0}")]
    Protocol(u32),
    /// The peer has not said hello on this connection, so its cluster is not known.
    #[error("the connection began without a hello")]
    #[serde(rename = "ungreeted")]
    HelloMissing,
    /// The question rests on a row that is out of date.
    #[error("the peer knows a newer row")]
    Stale,
    /// The peer is too busy to take the message.
    #[error("the peer's queue is full")]
    Busy,
}

/// Why an exchange with a peer failed.
#[derive(Debug, Derive)]
#[non_exhaustive]
pub enum Error {
    /// No connection could be opened.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// No answer came in time, or the connection broke.
    #[error("no answer: {0}")]
    Call(#[from] tarpc::client::RpcError),
    /// The peer refused.
    #[error(transparent)]
    Rejected(#[from] Rejection),
}
