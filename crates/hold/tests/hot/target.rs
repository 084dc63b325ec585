//! A target with slots and a queue.

use {hold::Span, std::collections::VecDeque};

/// The number of requests that wait behind the slots at most.
const QUEUE: usize = 16;

/// What comes of a request that arrives at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    Taken,
    NotHeld,
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    key: u16,
    entry: usize,
    arrived_at_ms: u64,
}

#[derive(Debug)]
pub(crate) struct Target {
    slots: usize,
    work_s: f64,
    held: Vec<Span>,
    /// The requests that run, and when they end.
    running: Vec<(Request, u64)>,
    waiting: VecDeque<Request>,
}

impl Target {
    pub(crate) fn new(slots: u32, work_s: f64) -> Self {
        let (running, waiting) = (Vec::new(), VecDeque::new());
        Self { slots: slots as usize, work_s, held: Vec::new(), running, waiting }
    }

    /// Returns the utilisation that one request per second causes.
    pub(crate) fn cost(&self) -> f64 {
        self.work_s / self.slots as f64
    }

    pub(crate) fn grant(&mut self, span: Span) {
        self.release(span);
        self.held.push(span);
    }

    pub(crate) fn release(&mut self, span: Span) {
        let held = std::mem::take(&mut self.held);
        self.held = held.into_iter().flat_map(|held| held.without(span)).flatten().collect();
    }

    /// Returns true if requests for keys of a span run or wait. A release is answered after them.
    pub(crate) fn has_work_on(&self, span: Span) -> bool {
        let running = self.running.iter().map(|(request, _)| request);
        running.chain(&self.waiting).any(|request| span.contains(request.key))
    }

    pub(crate) fn arrive(&mut self, key: u16, entry: usize, now_ms: u64) -> Arrival {
        if !self.held.iter().any(|held| held.contains(key)) {
            return Arrival::NotHeld;
        }
        if self.waiting.len() >= QUEUE {
            return Arrival::Full;
        }
        self.waiting.push_back(Request { key, entry, arrived_at_ms: now_ms });
        self.start(now_ms);
        Arrival::Taken
    }

    fn start(&mut self, now_ms: u64) {
        while self.running.len() < self.slots {
            let Some(request) = self.waiting.pop_front() else { return };
            self.running.push((request, now_ms + (self.work_s * 1_000.0) as u64));
        }
    }

    /// Ends the requests that are due, and returns the entry and the response time of each in
    /// seconds.
    pub(crate) fn finish(&mut self, now_ms: u64) -> Vec<(usize, f64)> {
        let mut ended = Vec::new();
        self.running.retain(|(request, ends_at_ms)| {
            let is_over = *ends_at_ms <= now_ms;
            if is_over {
                let seconds = (now_ms - request.arrived_at_ms) as f64 / 1_000.0;
                ended.push((request.entry, seconds));
            }
            !is_over
        });
        self.start(now_ms);
        ended
    }
}
