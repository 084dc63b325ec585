//! The burn report as a self-contained HTML page.

use {
    crate::burn::{BUCKET_SPAN, Count, ServiceBurn},
    std::fmt::Write,
};

const PLOT_WIDTH_PX: usize = 720;
const PLOT_HEIGHT_PX: usize = 120;

/// Returns a page with the burn rates of services, naming the entries that could not be reached.
#[must_use]
pub fn burn_page(title: &str, burns: &[ServiceBurn], unreached: &[String]) -> String {
    let mut out = String::new();
    let title = escape(title);
    out.push_str("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">");
    write!(out, "<title>{title}</title>").ok();
    out.push_str(
        "<style>body{font:15px system-ui,sans-serif;margin:2em auto;max-width:56em;color:#222}\
         table{border-collapse:collapse}td,th{padding:.3em .9em;text-align:right;border-bottom:1px \
         solid #ddd}th:first-child,td:first-child{text-align:left}.hot{color:#b00020;font-weight:600}\
         svg{background:#fafafa;border:1px solid #ddd}figcaption{color:#666;font-size:13px}\
         </style></head><body>",
    );
    write!(out, "<h1>{title}</h1>").ok();
    if !unreached.is_empty() {
        let names = escape(&unreached.join(", "));
        write!(out, "<p class=\"hot\">Not reached, so not counted: {names}</p>").ok();
    }
    write_table(&mut out, burns);
    for burn in burns {
        write_plot(&mut out, burn);
    }
    out.push_str("</body></html>");
    out
}

fn write_table(out: &mut String, burns: &[ServiceBurn]) {
    out.push_str("<table><tr><th>service</th><th>objective</th>");
    for label in ["5 min", "1 h", "6 h"] {
        write!(out, "<th>burn {label}</th><th>bad / all</th>").ok();
    }
    out.push_str("</tr>");
    for burn in burns {
        let objective = burn.objective_ppm as f64 / 10_000.0;
        write!(out, "<tr><td>{}</td><td>{objective:.2} %</td>", escape(burn.service.as_str())).ok();
        for window in &burn.windows {
            let class = if window.burn > 1.0 { " class=\"hot\"" } else { "" };
            let Count { total, bad } = window.count;
            write!(out, "<td{class}>{:.2}</td><td>{bad} / {total}</td>", window.burn).ok();
        }
        out.push_str("</tr>");
    }
    out.push_str("</table>");
}

/// Writes a bar chart of the newest buckets: all requests, overlaid by those that failed.
fn write_plot(out: &mut String, burn: &ServiceBurn) {
    let highest = burn.recent.iter().map(|count| count.total).max().unwrap_or(0).max(1);
    let bar_width = PLOT_WIDTH_PX as f64 / burn.recent.len().max(1) as f64;
    write!(out, "<figure><svg width=\"{PLOT_WIDTH_PX}\" height=\"{PLOT_HEIGHT_PX}\" role=\"img\">")
        .ok();
    for (index, count) in burn.recent.iter().enumerate() {
        write_bar(out, index as f64 * bar_width, bar_width, count.total, highest, "#9ec5e8");
        write_bar(out, index as f64 * bar_width, bar_width, count.bad, highest, "#b00020");
    }
    let seconds = BUCKET_SPAN.as_secs();
    let name = escape(burn.service.as_str());
    write!(
        out,
        "</svg><figcaption>{name}: requests in each {seconds} s (blue) and those that failed (red), \
         the newest at the right; the top of the plot is {highest}</figcaption></figure>",
    )
    .ok();
}

fn write_bar(out: &mut String, x: f64, width: f64, value: u64, highest: u64, colour: &str) {
    if value == 0 {
        return;
    }
    let height = value as f64 / highest as f64 * PLOT_HEIGHT_PX as f64;
    let y = PLOT_HEIGHT_PX as f64 - height;
    write!(
        out,
        "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{width:.1}\" height=\"{height:.1}\" fill=\"{colour}\"/>",
    )
    .ok();
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
