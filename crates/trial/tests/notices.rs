//! What targets say of themselves in their answers: that they leave, and when to come back.

use {
    key::Vm,
    standin::{
        holder,
        journal::{Kind, Line},
        rows,
    },
    std::time::Duration,
    tokio::time,
    trial::{Site, SitePlan, SiteRequest, eventually},
};

const ENTRY_COUNT: usize = 3;

/// The first target that serves orders; it has the index after the keyed ones.
const ORDER_TARGET: usize = 4;

/// A target that serves keys.
const KEYED_TARGET: usize = 0;

/// The time for which a leaving target may get requests, as the site's settings have it.
const LEAVING: Duration = Duration::from_secs(2);

/// The time for which a target that sheds wants nothing, in seconds.
const RETRY_AFTER_S: u32 = 3;

fn arrivals<'a>(lines: &'a [Line], target: usize) -> impl Iterator<Item = &'a Line> + use<'a> {
    let vm = Vm::from(format!("t{target}").as_str());
    lines.iter().filter(move |line| line.vm == vm && matches!(line.kind, Kind::Arrived { .. }))
}

/// Sends orders and lookups through all entries.
async fn send_everywhere(site: &Site, rounds: usize) {
    for round in 0..rounds {
        for entry in 0..ENTRY_COUNT {
            site.send(entry, &SiteRequest::order()).await;
            site.send(entry, &SiteRequest::lookup((round * 4_099 % 65_536) as u16)).await;
        }
    }
}

/// Makes a target for orders say that it leaves, and calls `send` until one of its answers has done
/// so.
async fn say_leaving(site: &Site, send: impl AsyncFn()) {
    let fault = holder::Fault { says_leaving: true, ..holder::Fault::default() };
    site.set_target_fault(ORDER_TARGET, fault).await;
    eventually("an entry has an answer of the target that leaves", || async {
        send().await;
        (arrivals(&site.journal_lines(), ORDER_TARGET).count() > 0).then_some(())
    })
    .await;
}

/// Checks that none of the requests that `send` sends reaches a target once it may get none.
async fn check_no_arrivals_after_leaving(site: &Site, target: usize, send: impl AsyncFn()) {
    time::sleep(LEAVING).await;
    let before = arrivals(&site.journal_lines(), target).count();
    send().await;
    let after = arrivals(&site.journal_lines(), target).count();
    assert_eq!(after, before, "requests reached the target after it had left");
}

/// A target that said that it leaves got requests for as long as its registration was not read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_says_that_it_leaves_gets_nothing_more_without_the_store() {
    let site = Site::start(SitePlan { entries: ENTRY_COUNT, ..SitePlan::default() }).await;
    site.store.set_fault(rows::Fault { silent: true, ..rows::Fault::default() });
    say_leaving(&site, async || send_everywhere(&site, 1).await).await;
    // The other entries hear it from the leader, unless the target has answered them, too.
    send_everywhere(&site, 8).await;
    check_no_arrivals_after_leaving(&site, ORDER_TARGET, async || send_everywhere(&site, 20).await)
        .await;
    site.wait_until_served(0, &SiteRequest::order()).await;
}

/// The same where requests of an isolated entry are passed on by another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_says_that_it_leaves_gets_nothing_more_through_another_entry() {
    let mut site = Site::start(SitePlan { entries: ENTRY_COUNT, ..SitePlan::default() }).await;
    let isolated = ENTRY_COUNT - 1;
    site.restart_isolated(isolated);
    site.wait_until_served(isolated, &SiteRequest::order()).await;
    site.store.set_fault(rows::Fault { silent: true, ..rows::Fault::default() });
    let send_one = async || {
        site.send(isolated, &SiteRequest::order()).await;
    };
    say_leaving(&site, send_one).await;
    send_everywhere(&site, 8).await;
    check_no_arrivals_after_leaving(&site, ORDER_TARGET, async || {
        for _ in 0..30 {
            let response = site.send(isolated, &SiteRequest::order()).await;
            assert!(response.is_served(), "{response:?}");
        }
    })
    .await;
}

/// Keys of a target that said only in its answers that it leaves were not handed over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_leave_a_target_that_says_in_its_answers_that_it_leaves() {
    let plan = SitePlan { entries: ENTRY_COUNT, grant_duration_ms: 7_500, ..SitePlan::default() };
    let site = Site::start(plan).await;
    let fault = holder::Fault { says_leaving: true, ..holder::Fault::default() };
    site.set_target_fault(KEYED_TARGET, fault).await;
    send_everywhere(&site, 16).await;
    check_no_arrivals_after_leaving(&site, KEYED_TARGET, async || {
        for key in (0..=u16::MAX).step_by(4_099) {
            let response = site.send(1, &SiteRequest::lookup(key)).await;
            assert!(response.is_served(), "{response:?}");
        }
    })
    .await;
}

/// Requests for keys of a target that wants nothing for long were refused until it wanted some.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_leave_a_target_that_wants_nothing_for_long() {
    const LONG_RETRY_AFTER_S: u32 = 30;
    let plan = SitePlan { entries: ENTRY_COUNT, grant_duration_ms: 7_500, ..SitePlan::default() };
    let site = Site::start(plan).await;
    let fault =
        holder::Fault { shed: true, retry_after_s: LONG_RETRY_AFTER_S, ..holder::Fault::default() };
    site.set_target_fault(KEYED_TARGET, fault).await;
    eventually("each key is served by a target that wants requests", || async {
        let mut refused = 0;
        for key in (0..=u16::MAX).step_by(4_099) {
            refused += usize::from(!site.send(1, &SiteRequest::lookup(key)).await.is_served());
        }
        (refused == 0).then_some(())
    })
    .await;
}

/// An entry that had restarted knew nothing of a target's leaving while the store was silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_has_restarted_learns_that_a_target_leaves_without_the_store() {
    let mut site = Site::start(SitePlan { entries: ENTRY_COUNT, ..SitePlan::default() }).await;
    say_leaving(&site, async || send_everywhere(&site, 1).await).await;
    let restarted = ENTRY_COUNT - 1;
    site.kill_entry(restarted);
    site.start_entry(restarted);
    site.wait_until_served(restarted, &SiteRequest::order()).await;
    site.store.set_fault(rows::Fault { silent: true, ..rows::Fault::default() });
    send_everywhere(&site, 8).await;
    check_no_arrivals_after_leaving(&site, ORDER_TARGET, async || send_everywhere(&site, 20).await)
        .await;
}

/// A target that turned a request away and named the time to come back got the next one at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_names_a_time_to_come_back_gets_nothing_before_it() {
    struct Case {
        name: &'static str,
        target: usize,
        request: fn(u16) -> SiteRequest,
        /// Requests of the other service.
        other: fn(u16) -> SiteRequest,
        /// Whether an entry reaches no target itself.
        is_one_isolated: bool,
        /// Whether an entry restarts midway, which has heard nothing then.
        does_one_restart: bool,
    }
    let keyed = Case {
        name: "keyed",
        target: KEYED_TARGET,
        request: SiteRequest::lookup,
        other: |_| SiteRequest::order(),
        is_one_isolated: false,
        does_one_restart: false,
    };
    let unkeyed = Case {
        name: "unkeyed",
        target: ORDER_TARGET,
        request: |_| SiteRequest::order(),
        other: SiteRequest::lookup,
        is_one_isolated: false,
        does_one_restart: false,
    };
    let cases = [
        Case { name: "keyed, with an isolated entry", is_one_isolated: true, ..keyed },
        Case { name: "keyed, with a restart", does_one_restart: true, ..keyed },
        Case { name: "unkeyed, with an isolated entry", is_one_isolated: true, ..unkeyed },
        Case { name: "unkeyed, with a restart", does_one_restart: true, ..unkeyed },
        keyed,
        unkeyed,
    ];
    for case in cases {
        let mut site = Site::start(SitePlan { entries: ENTRY_COUNT, ..SitePlan::default() }).await;
        if case.is_one_isolated {
            site.restart_isolated(ENTRY_COUNT - 1);
            site.wait_until_served(ENTRY_COUNT - 1, &(case.request)(0)).await;
        }
        let fault =
            holder::Fault { shed: true, retry_after_s: RETRY_AFTER_S, ..holder::Fault::default() };
        site.set_target_fault(case.target, fault).await;
        let ends_at = time::Instant::now() + Duration::from_secs(u64::from(RETRY_AFTER_S) - 1);
        let restarts_at = ends_at - Duration::from_secs(1);
        let mut has_restarted = !case.does_one_restart;
        let mut refused_without_time = 0;
        while time::Instant::now() < ends_at {
            if !has_restarted && time::Instant::now() >= restarts_at {
                has_restarted = true;
                site.kill_entry(0);
                site.start_entry(0);
                site.wait_until_served(0, &(case.other)(0)).await;
            }
            for entry in 0..ENTRY_COUNT {
                let response = site.send(entry, &(case.request)(rand::random())).await;
                let has_time = response.headers.contains_key("retry-after");
                refused_without_time += usize::from(response.is_not_run() && !has_time);
            }
            time::sleep(Duration::from_millis(5)).await;
        }
        let lines = site.journal_lines();
        let arrived = arrivals(&lines, case.target).count();
        // Each process gets its first refusal, and may have sent others by then.
        let processes = ENTRY_COUNT + usize::from(case.does_one_restart);
        assert!(arrived <= 3 * processes, "{}: {arrived} requests arrived", case.name);
        assert!(arrived >= 1, "{}: the target got no request", case.name);
        assert_eq!(refused_without_time, 0, "{}: refusals name no time", case.name);
        // Afterwards it is tried again.
        site.set_target_fault(case.target, holder::Fault::default()).await;
        time::sleep(Duration::from_secs(u64::from(RETRY_AFTER_S))).await;
        for key in (0..=u16::MAX).step_by(8_191) {
            site.wait_until_served(0, &(case.request)(key)).await;
        }
    }
}
