//! How long a call has waited at the server, although its process was busy when it was made.

use {
    http::StatusCode,
    std::{
        net::Ipv4Addr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, runtime, time},
    wire::with_sending_delay,
};

/// The time for which the process does not get to the request.
const BUSY_TIME: Duration = Duration::from_millis(600);

/// The time in which a written request reaches a server of the same machine.
const TRANSIT_TIME: Duration = Duration::from_millis(100);

/// Starts a server, on a thread of its own, that records when the latest request arrived.
fn start_server() -> (std::net::SocketAddr, Arc<Mutex<Option<Instant>>>) {
    let arrived_at = Arc::new(Mutex::new(None));
    let recorded = Arc::clone(&arrived_at);
    let (address_sender, address) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async move {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a listener");
            address_sender.send(listener.local_addr().expect("an address")).expect("a receiver");
            wire::serve(listener, move |_| {
                *recorded.lock().expect("no thread panicked") = Some(Instant::now());
                async { wire::json(StatusCode::OK, &1) }
            })
            .await;
        });
    });
    (address.recv().expect("an address"), arrived_at)
}

/// A poll of a busy process counted as pending from the time of the call on, so that a change that the
/// store had made before the poll arrived seemed to be new.
#[tokio::test]
async fn a_call_counts_as_sent_once_its_process_gets_to_it() {
    let (address, arrived_at) = start_server();
    let client = wire::Config::default().timeout(Duration::from_secs(5)).build();
    client.get::<u32>(address, "/").await.expect("an open connection");
    // The task of the connection has nothing left to do then.
    time::sleep(TRANSIT_TIME).await;
    let called_at = Instant::now();
    // This task gets its turn after the call is made and before its request is written.
    tokio::spawn(async { thread::sleep(BUSY_TIME) });
    let (answer, sending_delay) = with_sending_delay(client.get::<u32>(address, "/")).await;
    assert_eq!(answer.expect("an answer"), 1);
    let arrived_at = arrived_at.lock().expect("no thread panicked").expect("a request");
    assert!(arrived_at >= called_at + BUSY_TIME, "the request was not held up");
    assert!(
        called_at + sending_delay + TRANSIT_TIME >= arrived_at,
        "counted as sent before it was written"
    );
}
