//! How fast a service uses up the failures that its objective allows.
//!
//! A burn of one uses the allowance up exactly at the end of its period. Several windows are shown
//! together, because a short one tells of a fire now and a long one of a leak.

use {
    conf::services::Objective,
    key::Service,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// The span of one count.
pub const BUCKET_SPAN: Duration = Duration::from_secs(10);

/// The windows of the report.
pub const BURN_WINDOWS: [Duration; 3] =
    [Duration::from_secs(300), Duration::from_secs(3_600), Duration::from_secs(21_600)];

const BUCKETS: usize = 2_160;
const MILLIONTHS: f64 = 1_000_000.0;

/// The requests of a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// All requests.
    pub total: u64,
    /// Those that were refused, broke off or took longer than the objective allows.
    pub bad: u64,
}

impl Count {
    fn add(&mut self, other: Self) {
        self.total += other.total;
        self.bad += other.bad;
    }
}

/// The counts of one service, one for each bucket, the newest last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// The number of the newest bucket since the process started.
    pub newest: u64,
    /// The counts.
    pub counts: VecDeque<Count>,
}

/// The burn of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: Service,
    /// The objective, in millionths of requests.
    pub objective_ppm: u64,
    /// The burn in each of [`BURN_WINDOWS`], with its counts.
    pub windows: Vec<Window>,
    /// The counts of the newest buckets, the newest last, for a plot.
    pub recent: Vec<Count>,
}

/// The burn in one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// The length of the window in seconds.
    pub seconds: u64,
    /// The requests in it.
    pub count: Count,
    /// The share of failures over the share that is allowed.
    pub burn: f64,
}

/// The counts of all services in one process.
#[derive(Clone, Debug, Default)]
pub struct BurnCounts {
    series: BTreeMap<Service, Series>,
}

/// The buckets that a plot shows.
const RECENT: usize = 360;

impl BurnCounts {
    /// Adds the requests of a service in bucket `bucket`.
    pub fn add(&mut self, service: &Service, bucket: u64, count: Count) {
        let series = self.series.entry(service.clone()).or_default();
        while series.counts.is_empty() || series.newest < bucket {
            let empty = series.counts.is_empty();
            series.newest = if empty { bucket } else { series.newest + 1 };
            series.counts.push_back(Count::default());
            if series.counts.len() > BUCKETS {
                series.counts.pop_front();
            }
        }
        if let Some(last) = series.counts.back_mut() {
            last.add(count);
        }
    }

    /// Returns the burn of a service against its objective at bucket `now`.
    #[must_use]
    pub fn service_burn(&self, service: &Service, objective: &Objective, now: u64) -> ServiceBurn {
        let empty = Series::default();
        let series = self.series.get(service).unwrap_or(&empty);
        let windows = BURN_WINDOWS.map(|span| window(series, span, objective, now));
        let skipped = series.counts.len().saturating_sub(RECENT);
        ServiceBurn {
            service: service.clone(),
            objective_ppm: objective.success_ppm.get(),
            windows: windows.to_vec(),
            recent: series.counts.iter().skip(skipped).copied().collect(),
        }
    }
}

fn window(series: &Series, span: Duration, objective: &Objective, now: u64) -> Window {
    let buckets = span.as_secs() / BUCKET_SPAN.as_secs();
    let oldest = (now + 1).saturating_sub(buckets);
    let mut count = Count::default();
    let mut number = series.newest;
    for one in series.counts.iter().rev() {
        if number < oldest {
            break;
        }
        count.add(*one);
        number = number.saturating_sub(1);
    }
    Window { seconds: span.as_secs(), count, burn: burn_rate(count, objective) }
}

/// Returns the share of failures over the share that is allowed.
#[must_use]
pub fn burn_rate(count: Count, objective: &Objective) -> f64 {
    if count.total == 0 {
        return 0.0;
    }
    let failed = count.bad as f64 / count.total as f64;
    // An objective of every request allows none to fail; one in a million keeps the figure finite.
    let allowed = (MILLIONTHS - objective.success_ppm.get() as f64).max(1.0) / MILLIONTHS;
    failed / allowed
}

/// Adds up the lines of one service from several entries.
#[must_use]
pub fn merge(lines: &[ServiceBurn], objective: &Objective) -> Option<ServiceBurn> {
    let mut merged = lines.first()?.clone();
    for line in &lines[1..] {
        for (into, from) in merged.windows.iter_mut().zip(&line.windows) {
            into.count.add(from.count);
        }
        let (long, short) = (merged.recent.len(), line.recent.len());
        let mut recent = vec![Count::default(); long.max(short)];
        let length = recent.len();
        for (offset, series) in [(length - long, &merged.recent), (length - short, &line.recent)] {
            for (into, from) in recent[offset..].iter_mut().zip(series) {
                into.add(*from);
            }
        }
        merged.recent = recent;
    }
    for window in &mut merged.windows {
        window.burn = burn_rate(window.count, objective);
    }
    Some(merged)
}
