//! The burn report as one HTML page that needs nothing else.

use {
    crate::burn::{BUCKET_SPAN, Count, ServiceBurn},
    std::fmt::Write,
};

const WIDTH: usize = 720;
const HEIGHT: usize = 120;

/// Returns the page.
#[must_use]
pub fn burn_page(title: &str, lines: &[ServiceBurn], unreached: &[String]) -> String {
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
    table(&mut out, lines);
    for line in lines {
        plot(&mut out, line);
    }
    out.push_str("</body></html>");
    out
}

fn table(out: &mut String, lines: &[ServiceBurn]) {
    out.push_str("<table><tr><th>service</th><th>objective</th>");
    for label in ["5 min", "1 h", "6 h"] {
        write!(out, "<th>burn {label}</th><th>bad / all</th>").ok();
    }
    out.push_str("</tr>");
    for line in lines {
        let objective = line.objective_ppm as f64 / 10_000.0;
        write!(out, "<tr><td>{}</td><td>{objective:.2} %</td>", escape(line.service.as_str())).ok();
        for window in &line.windows {
            let class = if window.burn > 1.0 { " class=\"hot\"" } else { "" };
            let Count { total, bad } = window.count;
            write!(out, "<td{class}>{:.2}</td><td>{bad} / {total}</td>", window.burn).ok();
        }
        out.push_str("</tr>");
    }
    out.push_str("</table>");
}

fn plot(out: &mut String, line: &ServiceBurn) {
    let highest = line.recent.iter().map(|count| count.total).max().unwrap_or(0).max(1);
    let step = WIDTH as f64 / line.recent.len().max(1) as f64;
    write!(out, "<figure><svg width=\"{WIDTH}\" height=\"{HEIGHT}\" role=\"img\">").ok();
    for (at, count) in line.recent.iter().enumerate() {
        bar(out, at as f64 * step, step, count.total, highest, "#9ec5e8");
        bar(out, at as f64 * step, step, count.bad, highest, "#b00020");
    }
    let seconds = BUCKET_SPAN.as_secs();
    let name = escape(line.service.as_str());
    write!(
        out,
        "</svg><figcaption>{name}: requests in each {seconds} s (blue) and those that failed (red), \
         the newest at the right; the top of the plot is {highest}</figcaption></figure>",
    )
    .ok();
}

fn bar(out: &mut String, x: f64, width: f64, value: u64, highest: u64, colour: &str) {
    if value == 0 {
        return;
    }
    let height = value as f64 / highest as f64 * HEIGHT as f64;
    let y = HEIGHT as f64 - height;
    write!(
        out,
        "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{width:.1}\" height=\"{height:.1}\" fill=\"{colour}\"/>",
    )
    .ok();
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
