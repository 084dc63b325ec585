//! Requests that a caller sends before the earlier ones are answered.

use {
    super::{HOST_HEADER, REQUEST_TIMEOUT, Site, SiteRequest, SiteResponse},
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, StatusCode},
    standin::caller,
    std::sync::atomic::Ordering,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time,
    },
};

/// What a caller sees of requests on one connection.
#[derive(Debug, Default)]
pub struct Pipeline {
    /// The ids of the requests, in the order in which they were sent.
    pub ids: Vec<String>,
    /// The complete responses in the order in which they arrived. Each has the id that it names.
    pub responses: Vec<SiteResponse>,
    /// Whether bytes arrived that are no complete response.
    pub has_rest: bool,
}

impl Site {
    /// Sends requests on one connection without waiting for responses, and reads these until all
    /// have arrived or the connection ends. `on_sent` runs once all are sent.
    ///
    /// # Panics
    ///
    /// Panics if the entry does not accept the connection.
    pub async fn send_pipelined(
        &self,
        entry: usize,
        requests: &[SiteRequest],
        on_sent: impl FnOnce(),
    ) -> Pipeline {
        let address = self.entries[entry].caller_address;
        let mut stream = TcpStream::connect(address).await.expect("the entry accepts callers");
        let mut pipeline = Pipeline::default();
        let mut text = String::new();
        for request in requests {
            let id = format!("{:016x}", self.next_request_id.fetch_add(1, Ordering::Relaxed));
            text +=
                &format!("{} {} HTTP/1.1\r\nhost: {HOST_HEADER}\r\n", request.method, request.path);
            for (name, value) in caller::request_headers(&id, request.deadline_ms, request.key) {
                text += &format!("{name}: {value}\r\n");
            }
            text += "\r\n";
            pipeline.ids.push(id);
        }
        // A connection that ends early shows in the responses.
        stream.write_all(text.as_bytes()).await.ok();
        on_sent();
        let mut received = Vec::new();
        let read = async {
            let mut buffer = [0; 4_096];
            while pipeline.responses.len() < requests.len() {
                match stream.read(&mut buffer).await {
                    Ok(0) | Err(_) => break,
                    Ok(count) => received.extend_from_slice(&buffer[..count]),
                }
                while let Some((response, length)) = parse_response(&received) {
                    pipeline.responses.push(response);
                    received.drain(..length);
                }
            }
        };
        // Requests without a response by then are missing in the result.
        time::timeout(REQUEST_TIMEOUT, read).await.ok();
        pipeline.has_rest = !received.is_empty();
        pipeline
    }
}

/// Returns the first response in `bytes` and its length, if it is complete.
fn parse_response(bytes: &[u8]) -> Option<(SiteResponse, usize)> {
    let head_length = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&bytes[..head_length]).ok()?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?;
    let status = StatusCode::from_bytes(status.as_bytes()).ok()?;
    let mut headers = HeaderMap::new();
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_str(value.trim()).ok()?);
    }
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let body_length: usize = text("content-length").unwrap_or("0").parse().ok()?;
    let body = bytes.get(head_length..head_length + body_length)?;
    let id = text("attempt-id").unwrap_or_default().to_owned();
    let body = Bytes::copy_from_slice(body);
    let response = SiteResponse { id, status: Some(status), headers, body };
    Some((response, head_length + body_length))
}
