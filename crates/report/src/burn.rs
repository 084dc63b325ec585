//! Burn rates: how fast a service uses up the error budget of its objective.
//!
//! A burn rate of one uses up the budget exactly at the end of its period. The report shows several
//! windows together, because a short one reveals an acute outage and a long one a slow leak.
//! Requests are counted in buckets of a fixed span, which bounds the memory of a service and lets
//! every window be summed from the same counts.

use {
    conf::services::Objective,
    key::Service,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// The span of time that one bucket covers.
pub const BUCKET_SPAN: Duration = Duration::from_secs(10);

/// The windows of the report, the shortest first.
pub const BURN_WINDOWS: [Duration; 3] =
    [Duration::from_secs(300), Duration::from_secs(3_600), Duration::from_secs(21_600)];

/// The maximum number of buckets kept for a service: those of the longest window.
const MAX_BUCKETS: usize = 2_160;
const PPM_PER_UNIT: f64 = 1_000_000.0;

/// The number of requests in a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The number of all requests.
    pub total: u64,
    /// The number of requests that were refused, were cut off or exceeded the objective's latency.
    pub bad: u64,
}

impl Count {
    fn add(&mut self, other: Self) {
        self.total += other.total;
        self.bad += other.bad;
    }
}

/// The counts of one service, by bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// The number of the newest bucket, counted from the start of the process.
    pub newest: u64,
    /// The counts of consecutive buckets, the newest last.
    pub counts: VecDeque<Count>,
}

/// The burn rates of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: Service,
    /// The objective: the share of requests that must succeed, in parts per million.
    pub objective_ppm: u64,
    /// The burn rate and the counts in each of [`BURN_WINDOWS`].
    pub windows: Vec<Window>,
    /// The counts of the newest buckets for a plot, the newest last.
    pub recent: Vec<Count>,
}

/// The burn rate in one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// The length of the window in seconds.
    pub seconds: u64,
    /// The requests in the window.
    pub count: Count,
    /// The burn rate: the share of failures divided by the share that the objective allows.
    pub burn: f64,
}

/// The request counts of all services in one process.
#[derive(Clone, Debug, Default)]
pub struct BurnCounts {
    series: BTreeMap<Service, Series>,
}

/// The number of buckets in a plot.
const PLOT_BUCKETS: usize = 360;

impl BurnCounts {
    /// Adds requests of a service to bucket `bucket`, or to the newest bucket if that is later.
    pub fn add(&mut self, service: &Service, bucket: u64, count: Count) {
        let series = self.series.entry(service.clone()).or_default();
        while series.counts.is_empty() || series.newest < bucket {
            let is_empty = series.counts.is_empty();
            series.newest = if is_empty { bucket } else { series.newest + 1 };
            series.counts.push_back(Count::default());
            if series.counts.len() > MAX_BUCKETS {
                series.counts.pop_front();
            }
        }
        if let Some(last) = series.counts.back_mut() {
            last.add(count);
        }
    }

    /// Returns the burn rates of a service against its objective at bucket `now`.
    #[must_use]
    pub fn service_burn(&self, service: &Service, objective: &Objective, now: u64) -> ServiceBurn {
        let empty = Series::default();
        let series = self.series.get(service).unwrap_or(&empty);
        let windows = BURN_WINDOWS.map(|span| sum_window(series, span, objective, now));
        let skipped = series.counts.len().saturating_sub(PLOT_BUCKETS);
        ServiceBurn {
            service: service.clone(),
            objective_ppm: objective.success_ppm.get(),
            windows: windows.to_vec(),
            recent: series.counts.iter().skip(skipped).copied().collect(),
        }
    }
}

/// Sums the counts of the window of length `span` that ends with bucket `now`.
fn sum_window(series: &Series, span: Duration, objective: &Objective, now: u64) -> Window {
    let buckets = span.as_secs() / BUCKET_SPAN.as_secs();
    let oldest = (now + 1).saturating_sub(buckets);
    let mut count = Count::default();
    let mut bucket = series.newest;
    for bucket_count in series.counts.iter().rev() {
        if bucket < oldest {
            break;
        }
        count.add(*bucket_count);
        bucket = bucket.saturating_sub(1);
    }
    Window { seconds: span.as_secs(), count, burn: burn_rate(count, objective) }
}

/// Returns the share of failures divided by the share that the objective allows.
#[must_use]
pub fn burn_rate(count: Count, objective: &Objective) -> f64 {
    if count.total == 0 {
        return 0.0;
    }
    let failed_share = count.bad as f64 / count.total as f64;
    // An objective of 100 % allows no failure; assuming one in a million keeps the rate finite.
    let allowed_share = (PPM_PER_UNIT - objective.success_ppm.get() as f64).max(1.0) / PPM_PER_UNIT;
    failed_share / allowed_share
}

/// Merges the burn rates of one service from several entries, or returns `None` if there are none.
#[must_use]
pub fn merge(burns: &[ServiceBurn], objective: &Objective) -> Option<ServiceBurn> {
    let mut merged = burns.first()?.clone();
    for burn in &burns[1..] {
        for (sum, window) in merged.windows.iter_mut().zip(&burn.windows) {
            sum.count.add(window.count);
        }
        // The series are aligned at their newest buckets; a shorter one lacks the oldest buckets.
        let (left, right) = (merged.recent.len(), burn.recent.len());
        let mut recent = vec![Count::default(); left.max(right)];
        let length = recent.len();
        for (offset, counts) in [(length - left, &merged.recent), (length - right, &burn.recent)] {
            for (sum, count) in recent[offset..].iter_mut().zip(counts) {
                sum.add(*count);
            }
        }
        merged.recent = recent;
    }
    for window in &mut merged.windows {
        window.burn = burn_rate(window.count, objective);
    }
    Some(merged)
}
