//! The burn report as an HTML page that needs no network to display.
//!
//! # Example
//!
//! ```
//! use endivectl::{html, report::BurnReport};
//!
//! let page = html::render(&BurnReport::build(&[]));
//! assert!(page.starts_with("<!doctype html>") && !page.contains("http"));
//! ```

use std::fmt::Write;

use crate::report::{BurnReport, FAST_BURN_RATE, SLOW_BURN_RATE, SubjectBurn, WindowReport};

/// Width of the area for the bars of a chart, in pixels.
const PLOT_WIDTH_PX: f64 = 480.0;

/// Height of one bar, in pixels.
const BAR_HEIGHT_PX: f64 = 14.0;

/// Width of the label column left of the bars, in pixels.
const LABEL_WIDTH_PX: f64 = 280.0;

/// Burn rate at which a bar has the full width; higher rates are cut off.
const MAX_BAR_BURN_RATE: f64 = 20.0;

const STYLE: &str = "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}\
td,th{padding:2px 8px;border-bottom:1px solid #ddd;text-align:right}\
td:first-child,th:first-child{text-align:left}.bad{color:#b00}";

/// Renders the report as an HTML page.
#[must_use]
pub fn render(report: &BurnReport) -> String {
    let mut out = String::new();
    // Writing to a `String` cannot fail, so the results are ignored.
    let _ = write!(out, "<!doctype html><meta charset=utf-8><title>Service-level burn</title>");
    let _ = write!(out, "<style>{STYLE}</style><h1>Service-level burn</h1>");
    let total = report.reached + report.unreachable.len();
    let _ = write!(out, "<p>{} of {total} instances were asked.</p>", report.reached);
    for instance in &report.unreachable {
        let error = escape_html(&instance.error);
        let _ = write!(
            out,
            "<p class=bad>{} could not be asked: {error}. Its counts are missing.</p>",
            instance.instance
        );
    }
    for window in &report.windows {
        write_window(&mut out, window);
    }
    out
}

fn write_window(out: &mut String, window: &WindowReport) {
    let (window_s, covered_s) = (window.window_s, window.covered_s);
    let _ = write!(out, "<h2>Last {window_s} s, of which {covered_s} s are covered</h2>");
    write_bar_chart(out, &window.subjects);
    let _ = write!(out, "<table><tr><th>requests of<th>asked<th>in time<th>whole<th>refused");
    for subject in &window.subjects {
        let tally = subject.tally;
        let _ = write!(
            out,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{}",
            label(subject),
            tally.asked,
            tally.in_time,
            tally.whole,
            tally.refused
        );
    }
    out.push_str("</table>");
}

/// Writes a bar chart with the highest burn rate of each subject, and a line
/// at [`SLOW_BURN_RATE`].
fn write_bar_chart(out: &mut String, subjects: &[SubjectBurn]) {
    let height = BAR_HEIGHT_PX * 1.4 * subjects.len() as f64 + BAR_HEIGHT_PX;
    let width = LABEL_WIDTH_PX + PLOT_WIDTH_PX + 60.0;
    let _ = write!(out, "<svg width={width} height={height} font-size=12 role=img>");
    for (subject, index) in subjects.iter().zip(0_u32..) {
        let bar_y = BAR_HEIGHT_PX * 1.4 * f64::from(index);
        let burn_rate = subject.highest_burn_rate();
        let bar_width = (burn_rate / MAX_BAR_BURN_RATE).min(1.0) * PLOT_WIDTH_PX;
        let text_y = bar_y + BAR_HEIGHT_PX * 0.8;
        let value_x = LABEL_WIDTH_PX + bar_width + 4.0;
        let _ = write!(
            out,
            "<text x=0 y={text_y}>{}</text><rect x={LABEL_WIDTH_PX} y={bar_y} width={bar_width:.1} \
             height={BAR_HEIGHT_PX} fill='{}'/><text x={value_x:.1} y={text_y}>{burn_rate:.2}</text>",
            label(subject),
            bar_colour(burn_rate)
        );
    }
    let threshold_x = LABEL_WIDTH_PX + SLOW_BURN_RATE / MAX_BAR_BURN_RATE * PLOT_WIDTH_PX;
    let _ = write!(
        out,
        "<line x1={threshold_x} x2={threshold_x} y1=0 y2={height} stroke='#444'/></svg>"
    );
}

fn label(subject: &SubjectBurn) -> String {
    let subject = &subject.subject;
    format!("{} {} rank {}", subject.kind, escape_html(&subject.name), subject.rank)
}

const fn bar_colour(burn_rate: f64) -> &'static str {
    if burn_rate >= FAST_BURN_RATE {
        "#b00"
    } else if burn_rate >= SLOW_BURN_RATE {
        "#d80"
    } else {
        "#3a6"
    }
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
