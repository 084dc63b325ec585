//! Client programs of the cases 7 to 10, with the standard library only.
//!
//! `tool ports N` prints free ports of the loopback address, and `tool crowd ...` lets a crowd of
//! callers at one entry while ordinary callers use it. `tool target ...` runs a server without keys
//! whose answers are large, and `tool downloads ...` fetches such answers on kept connections while
//! other callers send bodies that stop just short of their end. `tool steady ...` sends requests at a
//! steady rate and looks for answers of the service to which a route led before. `tool view ...` passes
//! one entry's calls on to the store and replaces addresses of servers in the answers, so that this entry
//! alone reaches them through forwarders, which can be cut.

use std::{
    collections::HashMap,
    env, fs,
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

fn main() {
    let words: Vec<String> = env::args().skip(1).collect();
    match words.first().map(String::as_str) {
        Some("ports") => print_ports(words[1].parse().unwrap_or(1)),
        Some("crowd") => process::exit(crowd(&options(&words[1..]))),
        Some("target") => target(&options(&words[1..])),
        Some("view") => view(&options(&words[1..])),
        Some("steady") => process::exit(steady(&options(&words[1..]))),
        Some("downloads") => process::exit(downloads(&options(&words[1..]))),
        _ => {
            eprintln!("usage: tool ports N | tool crowd|target|downloads|steady|view NAME=VALUE...");
            process::exit(2);
        }
    }
}

fn options(words: &[String]) -> HashMap<String, String> {
    let pairs = words.iter().filter_map(|word| word.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn print_ports(count: usize) {
    let listeners: Vec<TcpListener> =
        (0..count).filter_map(|_| TcpListener::bind("127.0.0.1:0").ok()).collect();
    for listener in &listeners {
        if let Ok(address) = listener.local_addr() {
            println!("{}", address.port());
        }
    }
}

/// One attempt of an ordinary caller.
struct Attempt {
    client: usize,
    begun_ms: u128,
    ended_ms: u128,
    id: String,
    /// The status of the answer, or why there is none.
    outcome: String,
    is_answered: bool,
}

/// Sends one request over a new connection, and returns the status or the reason for its lack.
fn request(
    address: SocketAddr,
    host: &str,
    path: &str,
    id: &str,
    wait: Duration,
) -> Result<u16, String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))
        .map_err(|error| format!("no connection: {:?}", error.kind()))?;
    stream.set_read_timeout(Some(wait)).ok();
    stream.set_nodelay(true).ok();
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: {host}\r\nattempt-id: {id}\r\ndeadline-remaining: {}\r\n\r\n",
        wait.as_millis()
    );
    stream.write_all(head.as_bytes()).map_err(|error| format!("not sent: {:?}", error.kind()))?;
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return Err("closed without an answer".to_owned()),
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err("no answer in time".to_owned());
            }
            Err(error) => return Err(format!("closed without an answer: {:?}", error.kind())),
        }
        let text = String::from_utf8_lossy(&answer);
        if text.contains("\r\n\r\n") {
            let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
            return status.ok_or_else(|| "bytes that are no answer".to_owned());
        }
    }
}

/// Returns the resident memory of a process, in bytes.
fn resident_bytes(pid: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kilobytes = line.split_whitespace().nth(1).and_then(|text| text.parse().ok());
    kilobytes.unwrap_or(0_u64) * 1024
}

/// Returns the bytes that were received on the connections of a local port and not yet read, and
/// the number of these connections.
fn unread_bytes(local_port: u16) -> (u64, usize) {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let (mut bytes, mut connections) = (0, 0);
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (Some(local), Some(state), Some(queues)) = (fields.get(1), fields.get(3), fields.get(4))
        else {
            continue;
        };
        let port = local.rsplit(':').next().and_then(|hex| u16::from_str_radix(hex, 16).ok());
        // Established, or closed by the other side.
        if port != Some(local_port) || !matches!(*state, "01" | "08") {
            continue;
        }
        let unread = queues.rsplit(':').next().and_then(|hex| u64::from_str_radix(hex, 16).ok());
        bytes += unread.unwrap_or(0);
        connections += 1;
    }
    (bytes, connections)
}

/// A caller of the crowd: it sends one request after the other and reads no answer.
struct Member {
    stream: TcpStream,
    /// Bytes that are sent once, before the requests.
    pending: Vec<u8>,
    sent: usize,
    number: usize,
    requests: usize,
    /// The bytes of requests that it sends at most after the first bytes.
    ahead: usize,
    is_closed: bool,
}

impl Member {
    fn refill(&mut self, host: &str, path: &str, fields: &str) {
        self.pending.clear();
        self.sent = 0;
        for _ in 0..16 {
            self.requests += 1;
            let id = format!("{:08x}{:08x}", self.number + 0x1000_0000, self.requests);
            self.pending.extend_from_slice(
                format!(
                    "GET {path} HTTP/1.1\r\nhost: {host}\r\nattempt-id: {id}\r\n\
                     deadline-remaining: 1000\r\n{fields}\r\n"
                )
                .as_bytes(),
            );
        }
    }

    /// Sends of the first bytes what the connection takes now, and returns how much that is.
    fn push_first(&mut self) -> usize {
        match self.stream.write(&self.pending[self.sent..]) {
            Ok(count) => {
                self.sent += count;
                return count;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.is_closed = true,
        }
        0
    }

    /// Sends what the connection takes now, and returns how much that is.
    fn push(&mut self, host: &str, path: &str, fields: &str) -> usize {
        let mut total = 0;
        while !self.is_closed {
            if self.sent == self.pending.len() {
                if self.ahead == 0 {
                    break;
                }
                self.refill(host, path, fields);
                self.ahead = self.ahead.saturating_sub(self.pending.len());
            }
            match self.stream.write(&self.pending[self.sent..]) {
                Ok(0) => self.is_closed = true,
                Ok(count) => {
                    self.sent += count;
                    total += count;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.is_closed = true,
            }
        }
        total
    }
}

fn crowd(options: &HashMap<String, String>) -> i32 {
    let text = |name: &str| options.get(name).cloned().unwrap_or_default();
    let number = |name: &str| text(name).parse::<usize>().unwrap_or(0);
    let address: SocketAddr = text("to").parse().expect("to=IP:PORT");
    let ready: SocketAddr = text("ready").parse().expect("ready=IP:PORT");
    let (host, path, crowd_path) = (text("host"), text("path"), text("crowd_path"));
    let pid = text("pid");
    let limit = number("memory_mb") as u64 * 1024 * 1024;
    let (callers, body_bytes) = (number("callers"), number("body_bytes"));
    let (seconds, ahead_bytes) = (number("seconds") as u64, number("ahead_bytes"));
    // More fields of each request that is sent ahead.
    let value = "v".repeat(number("field_bytes"));
    let fields: String =
        (0..number("fields")).map(|index| format!("x-field-{index}: {value}\r\n")).collect();
    let counts_unread = text("counts") != "resident";
    let start = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let mut record = String::new();
    record.push_str(&format!(
        "the crowd: {callers} callers, each with a body of {body_bytes} bytes, then {ahead_bytes} \
         bytes of requests sent ahead, with {} bytes of further fields each; no answer is read\n",
        fields.len()
    ));

    // The crowd.
    let live = Arc::new(AtomicUsize::new(0));
    let crowd_sent = Arc::new(AtomicUsize::new(0));
    let crowd = {
        let (stop, live, sent) = (Arc::clone(&stop), Arc::clone(&live), Arc::clone(&crowd_sent));
        let (host, path) = (host.clone(), crowd_path);
        thread::spawn(move || {
            let mut members = Vec::new();
            for index in 0..callers {
                let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
                    continue;
                };
                stream.set_nonblocking(true).ok();
                let mut member = Member {
                    stream,
                    pending: Vec::new(),
                    sent: 0,
                    number: index,
                    requests: 0,
                    ahead: ahead_bytes,
                    is_closed: false,
                };
                if body_bytes > 0 {
                    // A body of legal size, whole, before the requests.
                    member.pending = format!(
                        "POST {path} HTTP/1.1\r\nhost: {host}\r\nattempt-id: b{index:07x}\r\n\
                         content-length: {body_bytes}\r\n\r\n"
                    )
                    .into_bytes();
                    member.pending.resize(member.pending.len() + body_bytes, b'x');
                }
                members.push(member);
                // The first bytes go out before the next caller comes.
                for _ in 0..100 {
                    let Some(member) = members.last_mut() else { break };
                    if member.sent == member.pending.len() || member.is_closed {
                        break;
                    }
                    sent.fetch_add(member.push_first(), Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(1));
                }
                if index % 8 == 0 {
                    thread::sleep(Duration::from_millis(2));
                }
            }
            while !stop.load(Ordering::Relaxed) {
                let mut total = 0;
                for member in &mut members {
                    total += member.push(&host, &path, &fields);
                }
                sent.fetch_add(total, Ordering::Relaxed);
                live.store(members.iter().filter(|member| !member.is_closed).count(), Ordering::Relaxed);
                thread::sleep(Duration::from_millis(5));
            }
        })
    };

    // Ordinary callers, each over a new connection every time.
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for client in 0..10 {
        let (stop, attempts) = (Arc::clone(&stop), Arc::clone(&attempts));
        let (host, path) = (host.clone(), path.clone());
        threads.push(thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("{:08x}{count:08x}", 0x0c00_0000 + client);
                let begun_ms = start.elapsed().as_millis();
                let result = request(address, &host, &path, &id, Duration::from_millis(1000));
                let ended_ms = start.elapsed().as_millis();
                let is_answered = result.is_ok();
                let outcome = result.map_or_else(|reason| reason, |status| status.to_string());
                let attempt = Attempt { client, begun_ms, ended_ms, id, outcome, is_answered };
                attempts.lock().expect("attempts").push(attempt);
                thread::sleep(Duration::from_millis(200));
            }
        }));
    }

    // What the platform sees: readiness once a second, and the memory of the process.
    let mut peak = (0, 0, 0);
    let mut over_ms = 0;
    let mut last_ready = Instant::now() - Duration::from_secs(1);
    while start.elapsed() < Duration::from_secs(seconds) {
        if last_ready.elapsed() >= Duration::from_secs(1) {
            last_ready = Instant::now();
            let at = start.elapsed().as_millis();
            let wait = Duration::from_millis(900);
            let status = request(ready, "ready", "/almondworks/ready", "ready", wait);
            let (resident, (unread, connections)) =
                (resident_bytes(&pid), unread_bytes(address.port()));
            record.push_str(&format!(
                "{at} ms: ready {status:?}, crowd {} live, {} bytes sent; resident {resident}, \
                 unread {unread} on {connections} connections\n",
                live.load(Ordering::Relaxed),
                crowd_sent.load(Ordering::Relaxed)
            ));
        }
        let (resident, (unread, _)) = (resident_bytes(&pid), unread_bytes(address.port()));
        let sum = resident + if counts_unread { unread } else { 0 };
        if sum > peak.0 {
            peak = (sum, resident, unread);
        }
        if sum > limit {
            over_ms += 50;
        }
        thread::sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().ok();
    }
    crowd.join().ok();

    let mut attempts = Arc::into_inner(attempts).expect("attempts").into_inner().expect("attempts");
    attempts.sort_by_key(|attempt| attempt.begun_ms);
    for attempt in &attempts {
        record.push_str(&format!(
            "client {} {}: {} to {} ms: {}\n",
            attempt.client, attempt.id, attempt.begun_ms, attempt.ended_ms, attempt.outcome
        ));
    }
    let answered = attempts.iter().filter(|attempt| attempt.is_answered).count();
    record.push_str(&format!(
        "ordinary callers: {} attempts, {answered} answered\n",
        attempts.len()
    ));
    record.push_str(&format!(
        "memory: at most {} bytes ({} resident, {} received and not read) of {limit}; over the \
         limit for {over_ms} ms\n",
        peak.0, peak.1, peak.2
    ));
    println!("{record}");
    i32::from(peak.0 > limit)
}

/// Reads from a connection until `text` has a whole head; returns its length.
fn read_head(stream: &mut TcpStream, text: &mut Vec<u8>) -> Result<usize, String> {
    let mut buffer = [0; 16 << 10];
    loop {
        if let Some(end) = text.windows(4).position(|four| four == b"\r\n\r\n") {
            return Ok(end + 4);
        }
        match stream.read(&mut buffer) {
            Ok(0) if text.is_empty() => return Err("closed".to_owned()),
            Ok(0) => return Err("closed in a head".to_owned()),
            Ok(count) => text.extend_from_slice(&buffer[..count]),
            Err(error) => return Err(format!("{:?}", error.kind())),
        }
    }
}

fn field(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

/// Runs a server without keys. It answers each request after `work_ms` with `body_bytes` bytes, and
/// prints what it ran and whether it could send the whole answer.
fn target(options: &HashMap<String, String>) {
    let text = |name: &str| options.get(name).cloned().unwrap_or_default();
    let number = |name: &str| text(name).parse::<usize>().unwrap_or(0);
    let (listen, store, vm, service) = (text("listen"), text("store"), text("vm"), text("service"));
    let (body_bytes, work_ms) = (number("body_bytes"), number("work_ms"));
    let listener = TcpListener::bind(&listen).expect("listen=IP:PORT");
    let born = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis());
    {
        let (listen, vm, service) = (listen.clone(), vm.clone(), service.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                let row = format!(
                    "{{\"table\":\"servers\",\"key\":\"{vm}\",\"value\":{{\"service\":\"{service}\",\
                     \"address\":\"{listen}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":2,\
                     \"state\":\"ready\",\"coldLeft\":\"0ms\",\"sequence\":{sequence},\
                     \"born\":{born}}}}}"
                );
                if let Ok(mut stream) = TcpStream::connect(&store) {
                    let head = format!(
                        "POST /admin/row HTTP/1.1\r\nhost: store\r\ncontent-type: application/json\r\n\
                         connection: close\r\ncontent-length: {}\r\n\r\n{row}",
                        row.len()
                    );
                    stream.write_all(head.as_bytes()).ok();
                    stream.read_to_end(&mut Vec::new()).ok();
                }
                thread::sleep(Duration::from_millis(400));
            }
        });
    }
    let body = Arc::new(vec![b'y'; body_bytes]);
    for stream in listener.incoming().flatten() {
        let (body, vm, service) = (Arc::clone(&body), vm.clone(), service.clone());
        thread::spawn(move || serve_target(stream, &vm, &service, &body, work_ms));
    }
}

fn serve_target(
    mut stream: TcpStream,
    vm: &str,
    service: &str,
    body: &[u8],
    work_ms: usize,
) {
    stream.set_nodelay(true).ok();
    let mut received = Vec::new();
    while let Ok(length) = read_head(&mut stream, &mut received) {
        let head = String::from_utf8_lossy(&received[..length]).into_owned();
        received.drain(..length);
        let expected: usize =
            field(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut buffer = [0; 16 << 10];
        while received.len() < expected {
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(count) => received.extend_from_slice(&buffer[..count]),
            }
        }
        received.drain(..expected);
        let id = field(&head, "attempt-id").unwrap_or_default();
        if field(&head, "target-instance").is_some_and(|name| name != vm) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nattempt-id: {id}\r\ninstance-id: {vm}\r\n\
                 not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        thread::sleep(Duration::from_millis(work_ms as u64));
        let head = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-signature: s1\r\nserved-by: {service}\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        let sent = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body));
        println!("ran {id}: {}", if sent.is_ok() { "whole answer sent" } else { "broken off" });
        if sent.is_err() {
            return;
        }
    }
}

/// Sends bodies that stop one byte short of their end, again and again, until `stop` is set.
fn send_bodies(
    address: SocketAddr,
    host: &str,
    path: &str,
    body_bytes: usize,
    index: usize,
    pause: Duration,
    stop: &AtomicBool,
    sent: &AtomicUsize,
) {
    let piece = vec![b'x'; 64 << 10];
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        stream.set_read_timeout(Some(Duration::from_millis(200))).ok();
        stream.set_write_timeout(Some(Duration::from_millis(200))).ok();
        let count = sent.fetch_add(1, Ordering::Relaxed);
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {host}\r\nattempt-id: b{index:03x}{count:08x}\r\n\
             content-length: {body_bytes}\r\n\r\n"
        );
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        let mut left = body_bytes - 1;
        while is_open && left > 0 && !stop.load(Ordering::Relaxed) {
            match stream.write(&piece[..left.min(piece.len())]) {
                Ok(count) => left -= count,
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => is_open = false,
            }
        }
        // It stays open until the entry answers or closes.
        let mut buffer = [0; 4096];
        while is_open && !stop.load(Ordering::Relaxed) {
            match stream.read(&mut buffer) {
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                _ => is_open = false,
            }
        }
        thread::sleep(pause);
    }
}

/// Fetches one answer on a kept connection; returns its status, or what was seen instead, and whether
/// the connection can be used again.
fn fetch(stream: &mut TcpStream, host: &str, path: &str, id: &str) -> (String, bool) {
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: {host}\r\nattempt-id: {id}\r\ndeadline-remaining: 3000\r\n\r\n"
    );
    if let Err(error) = stream.write_all(head.as_bytes()) {
        return (format!("not sent: {:?}", error.kind()), false);
    }
    let mut received = Vec::new();
    let length = match read_head(stream, &mut received) {
        Ok(length) => length,
        Err(reason) => return (format!("no answer: {reason}"), false),
    };
    let head = String::from_utf8_lossy(&received[..length]).into_owned();
    received.drain(..length);
    let status = head.split(' ').nth(1).unwrap_or_default().to_owned();
    let expected: usize =
        field(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut got = received.len();
    let mut buffer = vec![0; 64 << 10];
    while got < expected {
        match stream.read(&mut buffer) {
            Ok(0) => return (format!("{status} cut after {got} of {expected} bytes"), false),
            Ok(count) => {
                got += count;
                // A link of some 50 Mbit/s.
                thread::sleep(Duration::from_micros(count as u64 * 160 / 1000));
            }
            Err(error) => {
                let kind = error.kind();
                return (format!("{status} cut after {got} of {expected} bytes: {kind:?}"), false);
            }
        }
    }
    let is_kept = field(&head, "connection").is_none_or(|value| value != "close");
    (status, is_kept)
}

fn downloads(options: &HashMap<String, String>) -> i32 {
    let text = |name: &str| options.get(name).cloned().unwrap_or_default();
    let number = |name: &str| text(name).parse::<usize>().unwrap_or(0);
    let address: SocketAddr = text("to").parse().expect("to=IP:PORT");
    let (host, path, crowd_path) = (text("host"), text("path"), text("crowd_path"));
    let (bodies, body_bytes) = (number("bodies"), number("body_bytes"));
    let pause = Duration::from_millis(number("pause_ms") as u64);
    let seconds = number("seconds") as u64;
    let start = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicUsize::new(0));
    let mut threads = Vec::new();
    for index in 0..bodies {
        let (stop, sent) = (Arc::clone(&stop), Arc::clone(&sent));
        let (host, crowd_path) = (host.clone(), crowd_path.clone());
        threads.push(thread::spawn(move || {
            send_bodies(address, &host, &crowd_path, body_bytes, index, pause, &stop, &sent);
        }));
    }
    let lines = Arc::new(Mutex::new(Vec::new()));
    for client in 0..20 {
        let (stop, lines) = (Arc::clone(&stop), Arc::clone(&lines));
        let (host, path) = (host.clone(), path.clone());
        threads.push(thread::spawn(move || {
            let mut kept: Option<TcpStream> = None;
            let (mut count, mut uses) = (0, 0);
            while !stop.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("{:08x}{count:08x}", 0x0d00_0000 + client);
                let stream = kept.take().filter(|_| uses > 0);
                let was_kept = stream.is_some();
                let stream = stream
                    .or_else(|| TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok());
                let begun_ms = start.elapsed().as_millis();
                let Some(mut stream) = stream else { continue };
                stream.set_read_timeout(Some(Duration::from_millis(4000))).ok();
                stream.set_nodelay(true).ok();
                let (outcome, is_kept) = fetch(&mut stream, &host, &path, &id);
                uses += 1;
                kept = is_kept.then_some(stream);
                let ended_ms = start.elapsed().as_millis();
                let connection = if was_kept { "kept" } else { "new" };
                lines.lock().expect("lines").push((
                    begun_ms,
                    format!(
                        "client {client} {id}: {begun_ms} to {ended_ms} ms, {connection} connection: \
                         {outcome}"
                    ),
                    was_kept,
                    outcome,
                    ended_ms - begun_ms,
                ));
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    while start.elapsed() < Duration::from_secs(seconds) {
        thread::sleep(Duration::from_millis(100));
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().ok();
    }
    let mut lines = Arc::into_inner(lines).expect("lines").into_inner().expect("lines");
    lines.sort_by_key(|line| line.0);
    println!("bodies that stopped one byte short: {}", sent.load(Ordering::Relaxed));
    let (mut whole, mut refused, mut cut, mut cut_kept) = (0, 0, 0, 0);
    for (_, line, was_kept, outcome, took_ms) in &lines {
        println!("{line}");
        match outcome.as_str() {
            "200" => whole += 1,
            outcome if outcome.len() == 3 => refused += 1,
            _ => {
                cut += 1;
                // The route's timeout is 2 s, and the caller waits for 3 s.
                let is_early = *took_ms < 1_500;
                cut_kept += usize::from(*was_kept && is_early && outcome.contains(" cut after"));
            }
        }
    }
    println!(
        "ordinary callers: {} requests, {whole} answered whole, {refused} refused, {cut} cut or \
         without an answer, of them {cut_kept} cut on kept connections",
        lines.len()
    );
    // "more than three times"
    i32::from(cut_kept > 3)
}

/// Sends a request every 20 ms, each over a new connection, and prints which service answered. Returns
/// 1 if the service `old` answered requests that were sent more than `slack_ms` after `new` had answered
/// one.
fn steady(options: &HashMap<String, String>) -> i32 {
    let text = |name: &str| options.get(name).cloned().unwrap_or_default();
    let number = |name: &str| text(name).parse::<usize>().unwrap_or(0);
    let address: SocketAddr = text("to").parse().expect("to=IP:PORT");
    let (host, path, old, new) = (text("host"), text("path"), text("old"), text("new"));
    let (seconds, slack_ms) = (number("seconds") as u64, number("slack_ms") as u128);
    let start = Instant::now();
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for count in 0.. {
        let due = start + Duration::from_millis(20 * count);
        if due >= start + Duration::from_secs(seconds) {
            break;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let (answers, host, path) = (Arc::clone(&answers), host.clone(), path.clone());
        threads.push(thread::spawn(move || {
            let id = format!("{:016x}", 0x0e00_0000_0000 + count);
            let begun_ms = start.elapsed().as_millis();
            let outcome = ask_once(address, &host, &path, &id);
            let ended_ms = start.elapsed().as_millis();
            answers.lock().expect("answers").push((begun_ms, ended_ms, id, outcome));
        }));
    }
    for thread in threads {
        thread.join().ok();
    }
    let mut answers = Arc::into_inner(answers).expect("answers").into_inner().expect("answers");
    answers.sort();
    let first_new = answers.iter().filter(|answer| answer.3 == format!("200 {new}")).map(|a| a.1).min();
    let mut regressed = 0;
    for (begun_ms, ended_ms, id, outcome) in &answers {
        let is_late = first_new.is_some_and(|first| *begun_ms > first + slack_ms);
        let is_old = is_late && *outcome == format!("200 {old}");
        regressed += usize::from(is_old);
        let mark = if is_old { "  <- by the older version" } else { "" };
        println!("{id}: {begun_ms} to {ended_ms} ms: {outcome}{mark}");
    }
    let count = |what: &str| answers.iter().filter(|answer| answer.3 == what).count();
    println!(
        "{} requests: {} answered by {old}, {} by {new}; the first by {new} at {first_new:?} ms; sent \
         over {slack_ms} ms later and answered by {old}: {regressed}",
        answers.len(),
        count(&format!("200 {old}")),
        count(&format!("200 {new}"))
    );
    if first_new.is_none() {
        return 2;
    }
    i32::from(regressed > 0)
}

/// Sends one request over a new connection; returns the status and the service that answered.
fn ask_once(address: SocketAddr, host: &str, path: &str, id: &str) -> String {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1));
    let Ok(mut stream) = stream else { return "no connection".to_owned() };
    stream.set_read_timeout(Some(Duration::from_millis(1500))).ok();
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: {host}\r\nattempt-id: {id}\r\ndeadline-remaining: 1000\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return "not sent".to_owned();
    }
    let mut received = Vec::new();
    match read_head(&mut stream, &mut received) {
        Ok(length) => {
            let head = String::from_utf8_lossy(&received[..length]).into_owned();
            let status = head.split(' ').nth(1).unwrap_or_default();
            format!("{status} {}", field(&head, "served-by").unwrap_or_default()).trim().to_owned()
        }
        Err(reason) => format!("no answer: {reason}"),
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - three.len()));
        for place in 0..4 {
            let digit = BASE64[(number >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= three.len() { digit as char } else { '=' });
        }
    }
    text
}

fn from_base64(text: &str) -> Option<Vec<u8>> {
    let (mut bytes, mut number, mut bits) = (Vec::new(), 0_u32, 0);
    for digit in text.trim_end_matches('=').bytes() {
        let value = BASE64.iter().position(|known| *known == digit)? as u32;
        number = (number << 6 | value) & 0xff_ffff;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits & 255) as u8);
        }
    }
    Some(bytes)
}

/// Replaces addresses in the values of all rows in an answer of the store.
fn replace_addresses(body: &str, map: &[(String, String)]) -> String {
    const MARK: &str = "\"value\":\"";
    let mut replaced = String::new();
    let mut rest = body;
    while let Some(at) = rest.find(MARK) {
        let (before, value) = rest.split_at(at + MARK.len());
        replaced.push_str(before);
        let end = value.find('"').unwrap_or(value.len());
        let text = from_base64(&value[..end]).and_then(|bytes| String::from_utf8(bytes).ok());
        match text {
            Some(mut text) => {
                for (from, to) in map {
                    text = text.replace(&format!("\"{from}\""), &format!("\"{to}\""));
                }
                replaced.push_str(&to_base64(text.as_bytes()));
            }
            None => replaced.push_str(&value[..end]),
        }
        rest = &value[end..];
    }
    replaced + rest
}

/// Reads a message with a head and a body of stated length.
fn read_message(stream: &mut TcpStream, received: &mut Vec<u8>) -> Result<(String, Vec<u8>), String> {
    let length = read_head(stream, received)?;
    let head = String::from_utf8_lossy(&received[..length]).into_owned();
    received.drain(..length);
    let expected: usize =
        field(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut buffer = [0; 16 << 10];
    while received.len() < expected {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return Err("broke off".to_owned()),
            Ok(count) => received.extend_from_slice(&buffer[..count]),
        }
    }
    let body = received.drain(..expected).collect();
    Ok((head, body))
}

/// Passes calls on to the store, with addresses replaced in its answers: `map=FROM>TO,FROM>TO`.
fn view(options: &HashMap<String, String>) {
    let text = |name: &str| options.get(name).cloned().unwrap_or_default();
    let listener = TcpListener::bind(text("listen")).expect("listen=IP:PORT");
    let store = text("store");
    let pairs = text("map");
    let pairs = pairs.split(',').filter_map(|pair| pair.split_once('>'));
    let map: Vec<(String, String)> =
        pairs.map(|(from, to)| (from.to_owned(), to.to_owned())).collect();
    let map = Arc::new(map);
    for stream in listener.incoming().flatten() {
        let (map, store) = (Arc::clone(&map), store.clone());
        thread::spawn(move || pass_on(stream, &store, &map));
    }
}

fn pass_on(mut client: TcpStream, store: &str, map: &[(String, String)]) {
    let Ok(mut server) = TcpStream::connect(store) else { return };
    client.set_nodelay(true).ok();
    server.set_nodelay(true).ok();
    let (mut from_client, mut from_server) = (Vec::new(), Vec::new());
    while let Ok((head, body)) = read_message(&mut client, &mut from_client) {
        if server.write_all(head.as_bytes()).and_then(|()| server.write_all(&body)).is_err() {
            return;
        }
        let Ok((head, body)) = read_message(&mut server, &mut from_server) else { return };
        let body = replace_addresses(&String::from_utf8_lossy(&body), map);
        let lines: Vec<&str> = head
            .lines()
            .filter(|line| !line.is_empty() && !line.to_ascii_lowercase().starts_with("content-length:"))
            .collect();
        let answer =
            format!("{}\r\ncontent-length: {}\r\n\r\n{body}", lines.join("\r\n"), body.len());
        if client.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
