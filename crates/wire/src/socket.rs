//! Sockets for connections that the HTTP client does not open itself.

use {
    std::{
        io,
        net::{IpAddr, SocketAddr},
    },
    tokio::net::TcpSocket,
};

/// Returns a socket that connects from the local address `source`; without one, the operating system
/// chooses it.
///
/// # Errors
///
/// Returns an error if the socket cannot be made, or if `source` is no address of this VM.
pub fn socket(source: Option<IpAddr>) -> io::Result<TcpSocket> {
    let socket = if source.is_some_and(|source| source.is_ipv6()) {
        TcpSocket::new_v6()?
    } else {
        TcpSocket::new_v4()?
    };
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    Ok(socket)
}
