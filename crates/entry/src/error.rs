//! The errors with which an entry fails.

use {std::net::SocketAddr, thiserror::Error as Derive};

/// An error that ends an entry, at its start or later.
#[derive(Debug, Derive)]
#[non_exhaustive]
pub enum Error {
    /// An address of the settings cannot be listened on.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// A thread, a runtime or a signal handler cannot be created.
    #[error("cannot start: {0}")]
    System(#[from] std::io::Error),
    /// The control thread ended before the process did.
    #[error("the control thread ended")]
    Control,
}
