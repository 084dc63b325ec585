//! Why an entry could not start.

use {std::net::SocketAddr, thiserror::Error as Derive};

/// A failure to start.
#[derive(Debug, Derive)]
#[non_exhaustive]
pub enum Error {
    /// An address of the settings cannot be bound.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        cause: std::io::Error,
    },
    /// A thread, a runtime or a signal handler cannot be made.
    #[error("cannot start: {0}")]
    System(#[from] std::io::Error),
    /// The control thread ended before the process was told to stop.
    #[error("the control thread ended")]
    Control,
}
