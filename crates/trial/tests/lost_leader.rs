//! What a leader was told just before it lost the leadership is not lost with it.

use {
    http::{Request, StatusCode},
    hyper::body::Incoming,
    serde_json::{Value, json},
    standin::{journal::Kind, proxy},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
    },
    tokio::net::TcpListener,
    trial::{Site, SitePlan, SiteRequest, eventually},
};

/// The number of crashes after which a request is refused, as in crate `route`.
const MAX_CRASHES: usize = 2;

/// The key of the requests that crash targets.
const KEY: u16 = 4_099;

/// The path of the requests that crash targets.
const PATH: &str = "/catalogue/poison";

/// What a leader does with the report that contains the first crash report; it replies to nothing
/// afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It replies.
    Replied,
    /// The call fails.
    Failed,
}

/// A process that the leadership record names as the leader, until it is told of a crash.
#[derive(Debug)]
struct EndingLeader {
    end: End,
    reports: AtomicUsize,
    has_ended: AtomicBool,
}

impl EndingLeader {
    /// Takes the lead of a site, and waits until entries report.
    async fn take_over(site: &Site, end: End) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address: SocketAddr = listener.local_addr().expect("a local address");
        let leader = Arc::new(Self { end, reports: AtomicUsize::new(0), has_ended: false.into() });
        let served = Arc::clone(&leader);
        tokio::spawn(wire::serve(listener, move |request| {
            let leader = Arc::clone(&served);
            async move { leader.reply(request).await }
        }));
        let record = json!({
            "vm": "ending", "incarnation": 1, "address": address, "term": 1_000, "former": [],
        });
        site.store.write_row("almondworks", "lead", record.to_string().as_bytes());
        eventually("entries report to the leader that the record names", || async {
            (leader.reports.load(Ordering::Relaxed) >= 12).then_some(())
        })
        .await;
        leader
    }

    async fn reply(&self, request: Request<Incoming>) -> wire::Reply {
        if request.uri().path() != "/report" || self.has_ended.load(Ordering::Relaxed) {
            return wire::status(StatusCode::NOT_FOUND);
        }
        let Ok(report) = wire::read_json::<Value>(request, 4 << 20).await else {
            return wire::status(StatusCode::BAD_REQUEST);
        };
        self.reports.fetch_add(1, Ordering::Relaxed);
        if report["strikes"].as_array().is_some_and(|crashes| !crashes.is_empty()) {
            self.has_ended.store(true, Ordering::Relaxed);
            if self.end == End::Failed {
                return wire::status(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
        let reply = json!({
            "leads": true, "resigning": false, "entries": 4, "routing_version": 1, "maps": [],
            "targets": null, "strikes": [],
        });
        wire::json(StatusCode::OK, &reply)
    }
}

/// Returns the targets that began to run the requests that crash them.
fn crashed(site: &Site) -> BTreeSet<String> {
    let lines = site.journal_lines().into_iter();
    let begun = lines.filter(|line| matches!(&line.kind, Kind::Began { path, .. } if path == PATH));
    begun.map(|line| line.vm.to_string()).collect()
}

/// A leader that had got the report of a crash lost the leadership before it passed it on, and the
/// request crashed one target more. So it did if the call with the report failed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crash_report_outlives_the_leader_that_got_it() {
    for end in [End::Replied, End::Failed] {
        let plan = SitePlan { keyed_targets: 6, grant_duration_ms: 7_500, ..SitePlan::default() };
        let mut site = Site::prepare(SitePlan { proxied: false, ..plan }).await;
        site.start_entries().await;
        let leader = EndingLeader::take_over(&site, end).await;
        // The entry that sees the first crash does not lead next, and stores nothing.
        site.set_store_proxy_fault(0, proxy::Fault { cut: true, ..proxy::Fault::default() });
        let request = SiteRequest { path: PATH.to_owned(), ..SiteRequest::lookup(KEY) };
        for entry in 0..plan.entries {
            let response = site.send(entry, &request).await;
            assert!(!response.is_served(), "{end:?}: {response:?}");
            eventually("the leader gets the crash report", || async {
                leader.has_ended.load(Ordering::Relaxed).then_some(())
            })
            .await;
            let crashed = crashed(&site);
            assert!(crashed.len() <= MAX_CRASHES, "{end:?}, entry {entry}: {crashed:?} crashed");
            // The key gets another holder from the next leader.
            for entry in 0..plan.entries {
                site.wait_until_served(entry, &SiteRequest::lookup(KEY)).await;
            }
        }
        let crashed = crashed(&site);
        assert_eq!(crashed.len(), MAX_CRASHES, "{end:?}: {crashed:?}");
    }
}
