//! A server that stops lets the responses in flight end, for as long as it may.

use {
    http::{Request, StatusCode},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{convert::Infallible, net::Ipv4Addr, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        time,
    },
    wire::accept_until,
};

/// Serves one request, which takes `response_time`, and stops once it has begun. Returns whether
/// the server says that all responses ended within `timeout`, and whether the client got one.
async fn stop_during_a_response(response_time: Duration, timeout: Duration) -> (bool, bool) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = watch::channel(false);
    let (begun_sender, mut begun) = mpsc::channel(1);
    let server = tokio::spawn(accept_until(
        stopped,
        listener,
        timeout,
        |error| panic!("accept failed: {error}"),
        move |stream, graceful| {
            let begun_sender = begun_sender.clone();
            let service = service_fn(move |_: Request<Incoming>| {
                let begun_sender = begun_sender.clone();
                async move {
                    begun_sender.send(()).await.expect("a receiver");
                    time::sleep(response_time).await;
                    Ok::<_, Infallible>(wire::json(StatusCode::OK, "whole"))
                }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(graceful.watch(connection));
        },
    ));
    let client = wire::Config::default().timeout(Duration::from_secs(1)).build();
    let request = tokio::spawn(async move { client.get::<String>(address, "/").await.is_ok() });
    begun.recv().await.expect("a request");
    stop.send_replace(true);
    (server.await.expect("a result"), request.await.expect("a result"))
}

#[tokio::test]
async fn a_server_that_stops_waits_for_responses_in_flight() {
    struct Case {
        name: &'static str,
        response_time: Duration,
        timeout: Duration,
        expected: (bool, bool),
    }
    let cases = [
        Case {
            name: "a response that ends in time",
            response_time: Duration::from_millis(100),
            timeout: Duration::from_secs(5),
            expected: (true, true),
        },
        Case {
            name: "a response that does not",
            response_time: Duration::from_secs(5),
            timeout: Duration::from_millis(100),
            expected: (false, false),
        },
    ];
    for case in cases {
        let ended = stop_during_a_response(case.response_time, case.timeout).await;
        assert_eq!(ended, case.expected, "{}", case.name);
    }
}
