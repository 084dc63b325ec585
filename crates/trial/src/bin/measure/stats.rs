//! Lines through points.

/// A line `y = base + slope * x` through points, by least squares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fit {
    pub(crate) base: f64,
    pub(crate) slope: f64,
    /// The largest distance of a point from the line, as a share of the largest value.
    pub(crate) residual: f64,
}

/// Returns the line through points.
pub(crate) fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let base = mean_y - slope * mean_x;
    let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let distance = |(x, y): &(f64, f64)| (y - base - slope * x).abs();
    let residual = points.iter().map(distance).fold(0.0, f64::max) / largest;
    Fit { base, slope, residual }
}

/// Prints points and the line through them.
pub(crate) fn show(name: &str, x: &str, y: &str, points: &[(f64, f64)]) {
    let Fit { base, slope, residual } = fit(points);
    let shown: Vec<String> = points.iter().map(|(x, y)| format!("{x}: {y:.1}")).collect();
    println!(
        "{name} | {y} by {x} | {} | {slope:.4} per {x} + {base:.1} | residual {:.1} %",
        shown.join(", "),
        residual * 100.0,
    );
}

/// Returns the value below which `share` of the values lie.
pub(crate) fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = ((values.len() as f64 - 1.0) * share).round() as usize;
    values.get(at).copied().unwrap_or_default()
}
