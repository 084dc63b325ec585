//! Least-squares fits and quantiles.

/// The line `y = base + slope * x` that fits points by least squares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fit {
    pub(crate) base: f64,
    pub(crate) slope: f64,
    /// The largest vertical distance of a point from the line, relative to the largest `|y|`.
    pub(crate) residual: f64,
}

/// Fits a line to points.
pub(crate) fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let base = mean_y - slope * mean_x;
    let largest_y = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let distance = |(x, y): &(f64, f64)| (y - base - slope * x).abs();
    let residual = points.iter().map(distance).fold(0.0, f64::max) / largest_y;
    Fit { base, slope, residual }
}

/// Prints points and the line that fits them.
pub(crate) fn print_fit(name: &str, x: &str, y: &str, points: &[(f64, f64)]) {
    let Fit { base, slope, residual } = fit(points);
    let listing: Vec<String> = points.iter().map(|(x, y)| format!("{x}: {y:.1}")).collect();
    println!(
        "{name} | {y} by {x} | {} | {slope:.4} per {x} + {base:.1} | residual {:.1} %",
        listing.join(", "),
        residual * 100.0,
    );
}

/// Sorts `values` and returns the one at the quantile `quantile`, or 0 if there are none.
pub(crate) fn quantile(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 - 1.0) * quantile).round() as usize;
    values.get(index).copied().unwrap_or_default()
}
