//! Errors that end an entry or keep it from starting.

use {std::net::SocketAddr, thiserror::Error as Derive};

/// An error that ends an entry or keeps it from starting.
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
