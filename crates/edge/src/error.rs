//! Why an entry ends without being asked to.

use {std::net::SocketAddr, thiserror::Error as Derive};

/// Why an entry cannot start, or ends.
#[derive(Debug, Derive)]
#[non_exhaustive]
pub enum Error {
    /// An address of the settings cannot be bound.
    #[error("{field} {address}: {cause}")]
    Listen {
        /// The field of the settings.
        field: &'static str,
        /// Its value.
        address: SocketAddr,
        /// The system's error.
        cause: std::io::Error,
    },
    /// The system refuses something else.
    #[error(transparent)]
    System(#[from] std::io::Error),
    /// The control thread ended.
    #[error("the control thread ended")]
    Control,
}
