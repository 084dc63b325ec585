//! A stand-in for a target whose responses break the protocol.

use {
    crate::raw::{read_request, serve_connections},
    std::{
        collections::HashSet,
        io,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// What is wrong with the responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The first request on a connection is refused as not run; each later one runs, and is
    /// answered by that refusal once more.
    RepeatedRefusal,
    /// The connection closes after so many lines of the head.
    CutHead(usize),
    /// Requests run and get no response.
    Silent,
    /// The target is full: a request does not run and gets no response, and neither does any later
    /// one on its connection.
    Full,
    /// Requests run, and their responses have these texts in turn in place of a status.
    Statuses(&'static [&'static str]),
    /// The same, and the responses say that the requests have not run.
    RefusedStatuses(&'static [&'static str]),
    /// Requests run, and informational responses with these statuses come before the response.
    Informed(&'static [&'static str]),
}

/// The requests that a target has seen, by their attempt ids.
#[derive(Debug, Default)]
struct Seen {
    arrived: HashSet<String>,
    /// The number of requests on the connection that had the most.
    most_on_one: usize,
    /// The number of responses with a status of a list.
    responses: usize,
    run: HashSet<String>,
    /// How many connections were closed, and how many reset, while a request had no response.
    closed: usize,
    reset: usize,
    /// How many bytes arrived on connections behind a request that got no response.
    behind: usize,
}

/// A target with a fault.
#[derive(Debug)]
pub struct Faulty {
    kind: Kind,
    seen: Mutex<Seen>,
}

impl Faulty {
    /// Returns a target with a fault.
    #[must_use]
    pub fn new(kind: Kind) -> Arc<Self> {
        Arc::new(Self { kind, seen: Mutex::default() })
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many requests have arrived, each attempt id counted once.
    #[must_use]
    pub fn arrived_count(&self) -> usize {
        self.seen().arrived.len()
    }

    /// Returns true if the request with an attempt id has run.
    #[must_use]
    pub fn has_run(&self, id: &str) -> bool {
        self.seen().run.contains(id)
    }

    /// Returns how many connections were closed, and how many reset, while a request had no
    /// response.
    #[must_use]
    pub fn abandoned_counts(&self) -> (usize, usize) {
        let seen = self.seen();
        (seen.closed, seen.reset)
    }

    /// Returns how many bytes arrived behind a request that had no response.
    #[must_use]
    pub fn bytes_behind(&self) -> usize {
        self.seen().behind
    }

    /// Returns the number of requests on the connection that had the most.
    #[must_use]
    pub fn most_requests_on_one_connection(&self) -> usize {
        self.seen().most_on_one
    }

    /// Records that a request runs, and returns the status of its response.
    fn run(&self, id: &str, statuses: &'static [&'static str]) -> &'static str {
        let mut seen = self.seen();
        seen.run.insert(id.to_owned());
        seen.responses += 1;
        statuses[seen.responses % statuses.len()]
    }

    /// Serves connections on `listener`, forever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        serve_connections(listener, |stream| {
            let target = Arc::clone(&self);
            async move { target.serve_connection(stream).await }
        })
        .await;
    }

    async fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut refusal = None;
        let mut requests = 0;
        while let Some(id) = read_request(&mut stream).await? {
            let is_new = self.seen().arrived.insert(id.clone());
            requests += 1;
            let most = self.seen().most_on_one.max(requests);
            self.seen().most_on_one = most;
            match self.kind {
                Kind::RepeatedRefusal if is_new && refusal.is_none() => {
                    let text = format!(
                        "HTTP/1.1 503 Full\r\nattempt-id: {id}\r\nnot-executed: 1\r\n\
                         content-length: 0\r\n\r\n"
                    );
                    stream.write_all(text.as_bytes()).await?;
                    refusal = Some(text);
                }
                Kind::RepeatedRefusal => {
                    self.seen().run.insert(id.clone());
                    let response = refusal.clone().unwrap_or_else(|| success(&id));
                    stream.write_all(response.as_bytes()).await?;
                }
                Kind::CutHead(lines) => {
                    self.seen().run.insert(id.clone());
                    let head: String = success(&id).split_inclusive("\r\n").take(lines).collect();
                    stream.write_all(head.as_bytes()).await?;
                    return Ok(());
                }
                Kind::Silent => {
                    self.seen().run.insert(id.clone());
                    return self.wait_for_end(&mut stream).await;
                }
                Kind::Full => return self.wait_for_end(&mut stream).await,
                Kind::Statuses(statuses) => {
                    let status = self.run(&id, statuses);
                    let response = success(&id).replacen("200", status, 1);
                    stream.write_all(response.as_bytes()).await?;
                }
                Kind::RefusedStatuses(statuses) => {
                    let head = format!("{} Odd\r\nnot-executed: 1", self.run(&id, statuses));
                    let response = success(&id).replacen("200 OK", &head, 1);
                    stream.write_all(response.as_bytes()).await?;
                }
                Kind::Informed(statuses) => {
                    self.seen().run.insert(id.clone());
                    let informed =
                        statuses.iter().map(|status| format!("HTTP/1.1 {status} \r\n\r\n"));
                    let response: String = informed.chain([success(&id)]).collect();
                    stream.write_all(response.as_bytes()).await?;
                }
            }
        }
        Ok(())
    }
}

impl Faulty {
    /// Reads what arrives on a connection without answering it, until its end.
    async fn wait_for_end(&self, stream: &mut TcpStream) -> io::Result<()> {
        loop {
            let end = stream.read(&mut [0; 64]).await;
            let mut seen = self.seen();
            match end {
                Ok(0) => seen.closed += 1,
                Ok(count) => {
                    seen.behind += count;
                    continue;
                }
                Err(_) => seen.reset += 1,
            }
            return Ok(());
        }
    }
}

/// Returns the response to a request that has run.
fn success(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-signature: s1\r\n\
         content-length: 2\r\n\r\nok"
    )
}
