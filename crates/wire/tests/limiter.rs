//! Connections and bodies on a listener with limits.

use {
    http::{Method, Request, StatusCode},
    hyper::body::Incoming,
    quota::{Group, Limits},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        time,
    },
    wire::Limiter,
};

const MEMORY_MB: u64 = 16;
const DESCRIPTORS: u64 = 128;
const MAX_BODY_BYTES: usize = 4 << 20;

/// Starts a listener that answers with the size of the body.
async fn start() -> (SocketAddr, Limiter, Limits) {
    async fn answer(request: Request<Incoming>) -> wire::Reply {
        match wire::read_body(request, MAX_BODY_BYTES).await {
            Ok(body) => wire::json(StatusCode::OK, &body.len()),
            Err(_) => wire::status(StatusCode::PAYLOAD_TOO_LARGE),
        }
    }
    let limits = Limits::of_vm(Some(MEMORY_MB), Some(DESCRIPTORS));
    let limiter = Limiter::new(limits);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(wire::serve_within(listener, limiter.clone(), Group::Control, answer));
    (address, limiter, limits)
}

async fn size_of_body(address: SocketAddr, size: usize) -> Result<usize, wire::Error> {
    let client = wire::Config::default().timeout(Duration::from_secs(5)).build();
    let reply = client.send(Method::POST, address, "/", vec![b'x'; size].into()).await?;
    Ok(String::from_utf8_lossy(&reply).parse().unwrap_or_default())
}

/// Guards against connections and bodies that stay counted after they have ended.
#[tokio::test]
async fn everything_is_given_back() {
    let (address, limiter, _) = start().await;
    for size in [0, 10, 100_000, MAX_BODY_BYTES] {
        assert_eq!(size_of_body(address, size).await.ok(), Some(size));
    }
    assert!(size_of_body(address, MAX_BODY_BYTES + 1).await.is_err());
    for _ in 0..100 {
        if limiter.usage().connections == 0 {
            break;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(limiter.usage(), quota::Usage::default());
}

/// Guards against stalled bodies that keep others out, one connection or many.
#[tokio::test]
async fn stalled_connections_make_room() {
    for (callers, sent) in [(200, 0), (60, 1 << 20)] {
        let (address, limiter, limits) = start().await;
        let head =
            format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n");
        let mut streams = Vec::new();
        for _ in 0..callers {
            let mut stream = TcpStream::connect(address).await.expect("a listener");
            let body = vec![b'x'; sent];
            // The listener closes those for which there is no room.
            let write = async {
                stream.write_all(head.as_bytes()).await.ok();
                stream.write_all(&body).await.ok();
            };
            time::timeout(Duration::from_millis(500), write).await.ok();
            streams.push(stream);
            let usage = limiter.usage();
            assert!(usage.bytes <= limits.bytes, "{usage:?}");
            assert!(usage.connections <= limits.connections(Group::Control) + 16, "{usage:?}");
        }
        time::sleep(Duration::from_millis(300)).await;
        assert_eq!(size_of_body(address, 1_000).await.ok(), Some(1_000));
    }
}
