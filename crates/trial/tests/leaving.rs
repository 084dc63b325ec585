//! Targets that leave, and entries that hear of it through a reader in trouble.

use {
    futures::future::join_all,
    serde_json::{Value, json},
    standin::{holder, proxy},
    std::{
        io,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time,
    },
    trial::{INITIAL_ROUTES, Site, SitePlan, SiteRequest, eventually},
};

/// Two entries in each zone, and the rows of a few that rank before them.
const ENTRIES: usize = 6;
const READER_ROWS: usize = 7;

/// The entries of the first zone, to which the rows belong; one of the two may lead and read the
/// store itself.
const FIRST_ZONE: [usize; 2] = [0, 3];

/// The target without keys that entries of the first zone prefer, as it runs there.
const TARGET: usize = 3;
const TARGET_VM: &str = "t3";

/// The time for which a target may get requests after the store's word that it leaves, as in the
/// settings.
const LEAVING_LIMIT: Duration = Duration::from_secs(2);

/// The time for which orders are sent once that time is over.
const SENDING_TIME: Duration = Duration::from_millis(700);

/// What a reader tells its followers.
#[derive(Clone, Copy, Debug)]
enum Word {
    /// That nothing has changed, as of now.
    NoNews,
    /// The same, in an answer that arrives a byte at a time.
    Trickle,
    /// That the target's row is gone since an instant, and that an outage of the store here has
    /// just ended.
    GoneAfterOutage(Instant),
}

/// A stand-in for an entry that reads the store for others.
struct Reader {
    word: Mutex<Word>,
    polls: AtomicUsize,
}

impl Reader {
    /// Starts a reader and writes its rows, which rank before those of all entries of a zone.
    async fn start(site: &Site, name: &str, rows: usize) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        for number in 0..rows {
            // The first row of each reader is one of the two that are followed.
            let power = if number == 0 { 3.0 } else { 2.0 };
            let row = json!({ "incarnation": 1, "address": address, "zone": "a", "power": power });
            let key = format!("member/{name}-{number}");
            site.store.write_row("almondworks", &key, row.to_string().as_bytes());
        }
        let reader =
            Arc::new(Self { word: Mutex::new(Word::NoNews), polls: AtomicUsize::default() });
        tokio::spawn(Arc::clone(&reader).serve(listener));
        reader
    }

    fn word(&self) -> MutexGuard<'_, Word> {
        self.word.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn say(&self, word: Word) {
        *self.word() = word;
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let reader = Arc::clone(&self);
            tokio::spawn(async move {
                // An error is expected if the follower disconnects.
                reader.answer_calls(stream).await.ok();
            });
        }
    }

    async fn answer_calls(&self, mut stream: TcpStream) -> io::Result<()> {
        while let Some((path, query)) = read_call(&mut stream).await? {
            match path.as_str() {
                "/hello" => write_json(&mut stream, &hello()).await?,
                "/registry" => self.answer_poll(&mut stream, &query).await?,
                _ => write_json(&mut stream, &Value::Null).await?,
            }
        }
        Ok(())
    }

    async fn answer_poll(&self, stream: &mut TcpStream, query: &Value) -> io::Result<()> {
        const WAIT: Duration = Duration::from_millis(200);
        const TRICKLE_INTERVAL: Duration = Duration::from_millis(300);
        self.polls.fetch_add(1, Ordering::Relaxed);
        let begun_at = Instant::now();
        while begun_at.elapsed() < WAIT && matches!(*self.word(), Word::NoNews) {
            time::sleep(Duration::from_millis(5)).await;
        }
        let word = *self.word();
        let mut update = json!({
            "version": query["after"], "age_ms": 0, "waited_ms": millis(begun_at.elapsed()),
            "complete": false, "registered": [], "removed": [], "outages": 0, "available_ms": null,
        });
        match word {
            Word::NoNews => {}
            Word::Trickle => {
                stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4096\r\n\r\n").await?;
                loop {
                    stream.write_all(b" ").await?;
                    time::sleep(TRICKLE_INTERVAL).await;
                }
            }
            Word::GoneAfterOutage(since) => {
                let missing_ms = millis(since.elapsed());
                update["removed"] =
                    json!([{ "vm": TARGET_VM, "missing_ms": missing_ms, "sequence": 1_000_000 }]);
                update["outages"] = json!(1);
                update["available_ms"] = json!(0);
                time::sleep(WAIT.saturating_sub(begun_at.elapsed())).await;
            }
        }
        write_json(stream, &update).await
    }
}

fn hello() -> Value {
    json!({ "hears_leader": true, "reads_store": true })
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

async fn write_json(stream: &mut TcpStream, value: &Value) -> io::Result<()> {
    let body = value.to_string();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all((head + &body).as_bytes()).await
}

/// Reads a call and returns its path and its body, or `None` if the connection ends.
async fn read_call(stream: &mut TcpStream) -> io::Result<Option<(String, Value)>> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4_096]);
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head
            .to_ascii_lowercase()
            .lines()
            .find_map(|line| line.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
        if body.len() >= length.unwrap_or(0) {
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            return Ok(Some((path, serde_json::from_str(body).unwrap_or_default())));
        }
    }
}

/// Starts a site with readers that entries of the first zone follow; each has some rows.
async fn start_with_readers<const N: usize>(rows: [usize; N]) -> (Site, [Arc<Reader>; N]) {
    let plan =
        SitePlan { entries: ENTRIES, keyed_targets: 2, unkeyed_targets: 3, ..SitePlan::default() };
    let mut site = Site::prepare(plan).await;
    let mut readers = Vec::new();
    for (number, rows) in rows.into_iter().enumerate() {
        readers.push(Reader::start(&site, &format!("reader{number}"), rows).await);
    }
    site.start_entries().await;
    eventually("an entry follows a reader", || async {
        (!followers(&site).await.is_empty()).then_some(())
    })
    .await;
    let readers = readers.try_into().ok().expect("a reader for each number of rows");
    (site, readers)
}

/// Returns the entries that follow a reader.
async fn followers(site: &Site) -> Vec<usize> {
    const MIN_POLLS: u64 = 4;
    let mut followers = Vec::new();
    for entry in FIRST_ZONE {
        if followed_polls(site, entry).await >= MIN_POLLS {
            followers.push(entry);
        }
    }
    followers
}

/// Returns how many polls of the registry another entry answered.
async fn followed_polls(site: &Site, entry: usize) -> u64 {
    let metrics = site.metrics(entry).await;
    let name = "almondworks_registry_polls{of=\"entry\"} ";
    let line = metrics.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|count| count.parse().ok()).unwrap_or(0)
}

/// Sends orders through the followers once the target's time is over, and checks that none reaches
/// it.
async fn check_closed(site: &Site, left_at: Instant) {
    let followers = followers(site).await;
    time::sleep(LEAVING_LIMIT.saturating_sub(left_at.elapsed())).await;
    let before = site.orders_begun(TARGET_VM);
    while left_at.elapsed() < LEAVING_LIMIT + SENDING_TIME {
        for entry in followers.iter().copied() {
            let response = site.send(entry, &SiteRequest::order()).await;
            assert!(response.is_served(), "entry {entry}: {response:?}");
        }
    }
    let late: Vec<String> = site.orders_begun(TARGET_VM).difference(&before).cloned().collect();
    assert!(late.is_empty(), "{} orders went to a target that had left", late.len());
}

async fn wait_for_row(site: &Site, is_expected: impl Fn(Option<&str>) -> bool) -> Instant {
    eventually("the row of the target changes", || async {
        let row = site.store.read_row("servers", TARGET_VM);
        let row = row.map(|row| String::from_utf8_lossy(&row).into_owned());
        is_expected(row.as_deref()).then(Instant::now)
    })
    .await
}

/// Guards against followers that hear of no leaving target while the answer of their reader arrives
/// slowly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn followers_learn_in_time_that_a_target_leaves_while_an_answer_trickles() {
    let (site, [reader]) = start_with_readers([READER_ROWS]).await;
    reader.say(Word::Trickle);
    let leaving = holder::Fault { draining: true, ..holder::Fault::default() };
    site.set_target_fault(TARGET, leaving).await;
    let left_at = wait_for_row(&site, |row| row.is_some_and(|row| row.contains("draining"))).await;
    check_closed(&site, left_at).await;
}

/// Guards against followers that keep using a removed target since their reader, which could not
/// reach the store for a while, calls that an outage of the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn followers_drop_a_removed_target_whatever_outage_their_reader_had() {
    /// The time that the word takes to the followers.
    const DELAY: Duration = Duration::from_millis(800);
    let (site, [reader]) = start_with_readers([READER_ROWS]).await;
    let unlisted = holder::Fault { unlisted: true, ..holder::Fault::default() };
    site.set_target_fault(TARGET, unlisted).await;
    let left_at = wait_for_row(&site, |row| row.is_none()).await;
    time::sleep(DELAY).await;
    reader.say(Word::GoneAfterOutage(left_at));
    check_closed(&site, left_at).await;
}

/// Guards against followers that wait for a slow answer of the store when their reader is lost, while
/// another reader has the news.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn followers_turn_to_another_reader_while_the_store_answers_slowly() {
    const STORE_DELAY_MS: u64 = 10_000;
    let (site, mut readers) = start_with_readers([READER_ROWS - 1, 1]).await;
    readers.sort_by_key(|reader| reader.polls.load(Ordering::Relaxed));
    let [other, followed] = readers;
    let unlisted = holder::Fault { unlisted: true, ..holder::Fault::default() };
    site.set_target_fault(TARGET, unlisted).await;
    let left_at = wait_for_row(&site, |row| row.is_none()).await;
    for entry in followers(&site).await {
        let slow = proxy::Fault { delay_ms: STORE_DELAY_MS, ..proxy::Fault::default() };
        site.set_store_proxy_fault(entry, slow);
    }
    followed.say(Word::Trickle);
    other.say(Word::GoneAfterOutage(left_at));
    check_closed(&site, left_at).await;
}

/// Guards against orders that wait for a permit when their target leaves, and are sent to it once its
/// time is over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_that_wait_for_a_permit_are_not_sent_to_a_target_that_has_left() {
    const ORDERS: usize = 16;
    /// Orders wait for a permit for two fifths of it.
    const OBJECTIVE: &str = "10s";
    let plan = SitePlan { entries: 1, keyed_targets: 2, unkeyed_targets: 2, ..SitePlan::default() };
    let site = Site::start(plan).await;
    site.write_patient_routing(2, &INITIAL_ROUTES, OBJECTIVE);
    let limited = holder::Fault { limit_per_s: 2, ..holder::Fault::default() };
    site.set_target_fault(TARGET - 1, limited).await;
    site.set_target_fault(TARGET, limited).await;
    let order = SiteRequest { deadline_ms: 4_500, ..SiteRequest::order() };
    eventually("the entry knows both limits", || async {
        site.send(0, &order).await;
        let metrics = site.metrics(0).await;
        metrics.contains("almondworks_limited_targets 2").then_some(())
    })
    .await;
    let leave = async {
        let leaving = holder::Fault { draining: true, ..limited };
        site.set_target_fault(TARGET, leaving).await;
        let left_at =
            wait_for_row(&site, |row| row.is_some_and(|row| row.contains("draining"))).await;
        time::sleep(LEAVING_LIMIT.saturating_sub(left_at.elapsed())).await;
        site.orders_begun(TARGET_VM)
    };
    let orders = join_all((0..ORDERS).map(|_| site.send(0, &order)));
    let (before, _) = tokio::join!(leave, orders);
    let late = site.orders_begun(TARGET_VM).difference(&before).count();
    assert_eq!(late, 0, "orders went to a target that had left");
    assert!(!before.is_empty(), "the target got no orders");
}
