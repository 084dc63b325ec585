//! Sockets without an HTTP server, for stand-ins that break the protocol in their responses.

use {
    std::{future::Future, io},
    tokio::{
        io::AsyncReadExt,
        net::{TcpListener, TcpStream},
    },
};

const MAX_REQUEST_BYTES: usize = 16 << 10;

/// Passes each connection to `serve`, in a task of its own, forever.
pub(crate) async fn serve_connections<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = io::Result<()>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let served = serve(stream);
        tokio::spawn(async move {
            // An error is expected if the caller disconnects.
            served.await.ok();
        });
    }
}

/// Reads a request with its body and returns its attempt id, or `None` if the connection ends.
pub(crate) async fn read_request(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 1_024];
    while bytes.len() < MAX_REQUEST_BYTES {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let value = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(':'));
            let line = lines.find(|(found, _)| found.eq_ignore_ascii_case(name))?;
            Some(line.1.trim().to_owned())
        };
        let length = value("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        if body.len() >= length {
            return Ok(Some(value("attempt-id").unwrap_or_default()));
        }
    }
    Ok(None)
}
