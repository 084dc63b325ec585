//! Errors of calls between entries.

use {
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    thiserror::Error as Derive,
};

/// The reason why a peer rejected a request.
#[derive(Clone, Debug, Derive, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The peers belong to different clusters.
    #[error("the peer belongs to cluster `{0}`")]
    Cluster(SmolStr),
    /// The peers use different versions of the protocol.
    #[error("the peer uses protocol version {0}")]
    Protocol(u32),
    /// The caller has not completed the handshake on this connection, so its cluster is unknown.
    #[error("the connection has no handshake")]
    #[serde(rename = "ungreeted")]
    HelloMissing,
    /// The request refers to an outdated version of a row.
    #[error("the peer has a newer version of the row")]
    Stale,
    /// The peer's queue of messages is full.
    #[error("the peer's queue is full")]
    Busy,
}

/// An error of a call to a peer.
#[derive(Debug, Derive)]
#[non_exhaustive]
pub enum Error {
    /// The connection could not be opened.
    #[error("cannot connect to the peer: {0}")]
    Connect(#[from] std::io::Error),
    /// No reply arrived before the timeout, or the connection failed.
    #[error("no reply from the peer: {0}")]
    Call(#[from] tarpc::client::RpcError),
    /// The peer rejected the request.
    #[error(transparent)]
    Rejected(#[from] Rejection),
}
