//! Tests of the client against servers that misbehave.

use {
    bytes::Bytes,
    http::Method,
    std::{
        net::{SocketAddr, SocketAddrV4},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::Instant,
    },
    wire::ErrorKind,
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// The bytes that the server would send if its caller read on.
const SENT_BYTES: usize = 32 << 20;

/// Starts a server that answers with `head` and then many bytes, and returns how many it has sent
/// when its caller closes.
async fn serve_endless(head: &'static str) -> (SocketAddr, tokio::task::JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let sent_bytes = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 4_096];
        let length = stream.read(&mut request).await.expect("a request");
        assert!(length > 0, "the request is empty");
        stream.write_all(head.as_bytes()).await.expect("the head is sent");
        let chunk = vec![b'1'; 16 << 10];
        let mut sent_bytes = 0;
        while sent_bytes < SENT_BYTES && stream.write_all(&chunk).await.is_ok() {
            sent_bytes += chunk.len();
        }
        sent_bytes
    });
    (address, sent_bytes)
}

#[tokio::test]
async fn a_target_that_answers_without_end_is_cut_off() {
    struct Case {
        name: &'static str,
        head: &'static str,
    }
    let cases = [
        Case { name: "a body", head: "HTTP/1.1 200 OK\r\n\r\n" },
        Case {
            name: "a body of a stated length",
            head: "HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n",
        },
        Case { name: "a failure", head: "HTTP/1.1 500 Failed\r\n\r\n" },
        Case { name: "a header", head: "HTTP/1.1 200 OK\r\nx-long: " },
    ];
    for case in cases {
        let (address, sent_bytes) = serve_endless(case.head).await;
        let client = wire::Config::default().timeout(TIMEOUT).for_targets().build();
        let sent_at = Instant::now();
        let result = client.send(Method::GET, address, "/", Bytes::new()).await;
        let error = result.expect_err(case.name);
        assert_eq!(*error.kind(), ErrorKind::Ambiguous, "{}", case.name);
        assert!(sent_at.elapsed() < TIMEOUT, "{}: only the timeout ended it", case.name);
        let sent_bytes = sent_bytes.await.expect("the server ends");
        assert!(sent_bytes < SENT_BYTES, "{}: the client read everything", case.name);
    }
}

/// The time after which a silent server must be noticed while its response is awaited.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// Returns when the kernel probes the connection between two addresses next, or `None` if it does
/// not. The kernel lists its timers in hundredths of a second.
fn next_keepalive(local: SocketAddrV4, remote: SocketAddrV4) -> Option<Duration> {
    const KEEPALIVE_TIMER: &str = "02";
    let listed = |address: SocketAddrV4| {
        format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
    };
    let ends = [listed(local), listed(remote)];
    let table =
        std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of connections");
    let rows = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<&str>>());
    let row = rows.filter(|fields| fields.len() > 5).find(|fields| fields[1..3] == ends)?;
    let (timer, ticks) = row[5].split_once(':')?;
    let ticks = u64::from_str_radix(ticks, 16).ok()?;
    (timer == KEEPALIVE_TIMER).then(|| Duration::from_millis(10 * ticks))
}

fn v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => panic!("an address of another family: {address}"),
    }
}

/// The keep-alive of connections was set below the kernel's unit of a second, which the kernel
/// refused, so a long poll to a silent store went on until its own time was over.
#[tokio::test]
async fn a_connection_on_which_a_response_is_awaited_is_probed_soon() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let client = wire::Config::default().timeout(TIMEOUT).build();
    let request =
        tokio::spawn(
            async move { client.send(Method::GET, address, "/", Bytes::new()).await.is_ok() },
        );
    let (mut stream, peer) = listener.accept().await.expect("a connection");
    let mut bytes = [0; 4_096];
    let length = stream.read(&mut bytes).await.expect("a request");
    assert!(length > 0, "the request is empty");
    // Another socket may have the same port at another address.
    let other = TcpListener::bind(("127.0.0.2", peer.port())).await.expect("a free port");
    // The request has been acknowledged by then, so only the keep-alive timer is left.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let next = next_keepalive(v4(peer), v4(address));
    drop(other);
    request.abort();
    assert!(next.is_some_and(|next| next <= MAX_SILENCE), "the next probe comes in {next:?}");
}
