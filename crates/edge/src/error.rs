//! The errors with which an entry ends.

use {std::net::SocketAddr, thiserror::Error as Derive};

/// The reason for which an entry cannot start, or ends.
#[derive(Debug, Derive)]
#[non_exhaustive]
pub enum Error {
    /// An address from the settings cannot be bound.
    #[error("{field} {address}: {cause}")]
    Listen {
        /// The name of the setting.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// Another call of the operating system failed.
    #[error(transparent)]
    System(#[from] std::io::Error),
    /// The control thread ended.
    #[error("the control thread ended")]
    Control,
}
