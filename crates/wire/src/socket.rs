//! Sockets for connections that the HTTP client does not open itself.

use {
    std::{
        io,
        net::{IpAddr, SocketAddr},
    },
    tokio::net::TcpSocket,
};

/// Returns a socket for a connection to `address` from the local address `source`; without one, the
/// operating system chooses it.
///
/// # Errors
///
/// Returns an error if the socket cannot be made, or if `source` is no address of this VM.
pub fn socket(address: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    Ok(socket)
}
