//! What a connection's monitor proves, against sockets on loopback.

use {
    socket2::SockRef,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time,
    },
    wire::{Monitor, Socket, monitor},
};

/// The time in which what one end does reaches the other.
const DELIVERY: Duration = Duration::from_millis(100);

/// Returns a connection with its monitor, and its other end.
async fn connect() -> (Socket, Monitor, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (socket, monitor) = monitor(near.expect("a connection"));
    (socket, monitor, far.expect("a connection").0)
}

/// What the other end does while the connection is idle.
#[derive(Clone, Copy, Debug)]
enum Event {
    Nothing,
    Closes,
    Resets,
    Sends,
}

/// Guards against requests on idle connections that the other end has closed or reset, or on which
/// a copy of an earlier answer waits. No task polls the connection here, as in a busy process.
#[tokio::test]
async fn an_idle_connection_is_quiet_only_while_nothing_has_arrived() {
    let cases = [
        (Event::Nothing, true),
        (Event::Closes, false),
        (Event::Resets, false),
        (Event::Sends, false),
    ];
    for (event, is_quiet) in cases {
        let (_socket, monitor, mut far) = connect().await;
        assert!(monitor.is_quiet(), "{event:?}: quiet at first");
        let kept = match event {
            Event::Nothing => Some(far),
            Event::Closes => {
                drop(far);
                None
            }
            Event::Resets => {
                SockRef::from(&far).set_linger(Some(Duration::ZERO)).expect("an option");
                drop(far);
                None
            }
            Event::Sends => {
                far.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.expect("an open connection");
                Some(far)
            }
        };
        time::sleep(DELIVERY).await;
        assert_eq!(monitor.is_quiet(), is_quiet, "{event:?}");
        drop(kept);
    }
}

/// Guards against a failed write that counts as sent, and a successful one that does not.
#[tokio::test]
async fn only_bytes_that_the_kernel_took_count_as_written() {
    let (mut socket, monitor, mut far) = connect().await;
    assert_eq!(monitor.written(), 0);
    socket.write_all(b"GET / HTTP/1.1\r\n").await.expect("an open connection");
    assert_eq!(monitor.written(), 16);
    let mut received = [0; 16];
    far.read_exact(&mut received).await.expect("the bytes");
    SockRef::from(&far).set_linger(Some(Duration::ZERO)).expect("an option");
    drop(far);
    // The reset has arrived here, and no task has read it.
    std::thread::sleep(DELIVERY);
    socket.write_all(b"GET / HTTP/1.1\r\n").await.expect_err("the connection was reset");
    assert_eq!(monitor.written(), 16);
}

/// Guards against a monitor that keeps a connection open.
#[tokio::test]
async fn a_monitor_does_not_keep_the_connection_open() {
    let (socket, monitor, mut far) = connect().await;
    drop(socket);
    assert!(!monitor.is_quiet());
    assert_eq!(far.read(&mut [0; 1]).await.expect("the end"), 0);
}
