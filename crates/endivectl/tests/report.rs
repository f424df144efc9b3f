//! Tests of the burn report and of `endivectl trace`.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::process::Stdio;

use bytes::Bytes;
use endivectl::{html, report::BurnReport, request_log::RequestLogLine};
use endivevale_cases::cases;
use endivevale_core::burn_rate::{ObjectiveTargets, RequestCounts};
use endivevale_operator::burn::{InstanceTally, Subject, SubjectKind, SubjectTally, WindowTally};
use endivevale_standin::http::{ConnectionLimits, Reply, serve_http};
use proptest::prelude::*;
use tokio::{io::AsyncWriteExt, net::TcpListener, process::Command};

fn tally(instance: &str, asked: u64, in_time: u64) -> InstanceTally {
    let subject = Subject { kind: SubjectKind::Route, name: "sweep".into(), rank: 1 };
    let tally = RequestCounts { asked, in_time, whole: asked, refused: 0 };
    let subjects = vec![SubjectTally { subject, targets: ObjectiveTargets::ROUTE_DEFAULTS, tally }];
    let window = WindowTally { window_s: 300, covered_s: asked, subjects };
    InstanceTally { instance: instance.to_owned(), windows: vec![window] }
}

#[test]
fn counts_are_summed_and_the_smallest_coverage_is_reported() {
    let addr = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], n));
    let results = [
        (addr(1), Ok(tally("a", 100, 100))),
        (addr(2), Ok(tally("b", 60, 40))),
        (addr(3), Err("x".into())),
    ];
    let report = BurnReport::build(&results);
    assert_eq!((report.reached, report.unreachable.len(), report.is_complete()), (2, 1, false));
    assert_eq!(report.windows[0].covered_s, 60);
    let subject = &report.windows[0].subjects[0];
    assert_eq!((subject.tally.asked, subject.tally.in_time), (160, 140));
    // 20 of 160 requests are late, 12.5 % where the objective allows 1 %.
    assert!((subject.highest_burn_rate() - 12.5).abs() < 1e-6, "{}", subject.highest_burn_rate());
    assert!(report.to_text().contains("the objective will be missed"));
    let html_page = html::render(&report);
    assert!(html_page.contains("127.0.0.1:3 could not be asked") && html_page.contains("<svg"));
}

#[test]
fn error_text_is_escaped_in_html() {
    let addr = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let html_page = html::render(&BurnReport::build(&[(addr, Err("<script>".into()))]));
    assert!(html_page.contains("&lt;script&gt;") && !html_page.contains("<script>"));
}

/// Runs `endivectl` with `stdin_text` on standard input. Returns the exit code
/// and the output, standard output before standard error.
async fn run_endivectl(args: &[&str], stdin_text: &str) -> (i32, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_endivectl"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    stdin.write_all(stdin_text.as_bytes()).await.unwrap();
    drop(stdin);
    let output = child.wait_with_output().await.unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

#[tokio::test]
async fn burn_report_queries_instances_and_lists_unreachable_ones() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let json = Bytes::from(serde_json::to_vec(&tally("a", 100, 99)).unwrap());
    let _instance = serve_http(listener, ConnectionLimits::default(), move |_| {
        let json = json.clone();
        async { Reply::Whole(hyper::Response::new(json)) }
    });
    let (code, output) = run_endivectl(&["report", "burn", "--instance", &addr], "").await;
    assert_eq!(code, 0, "{output}");
    assert!(output.contains("route sweep rank 1: 100 requests, in_time 1.00"), "{output}");
    let args = ["report", "burn", "--instance", &addr, "--instance", "127.0.0.1:9"];
    let (code, output) = run_endivectl(&args, "").await;
    assert_eq!(code, 1, "{output}");
    assert!(output.contains("1 of 2 instances were asked"), "{output}");
    assert!(output.contains("127.0.0.1:9 could not be asked"), "{output}");
}

const PLAIN_LINE: &str = "2026-01-01T00:00:00.000Z INFO  [caller] request=r1 route=sweep version=4 \
    failed kind=searcher_failed why=\"8 of 10 shards answered, 9 are needed\" ms=12.5 \
    patience_ms=800 left_out=0 events=s1/a@5.0=slow,s1/-@5.1=over_budget,s2/b@6.0=lost:broken";

cases! {
    fn trace_finds_the_log_lines_of_a_request(line: String) {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let log = format!("2026 INFO  [node] Serving.\nno line at all\n{line}\n");
        let (code, output) = runtime.block_on(run_endivectl(&["trace", "r1"], &log));
        assert_eq!(code, 0, "{output}");
        assert!(output.contains("8 of 10 shards answered") && output.contains("lost:broken"), "{output}");
        assert_eq!(output.lines().count(), 4, "{output}");
        let (code, output) = runtime.block_on(run_endivectl(&["trace", "r2"], &log));
        assert_eq!(code, 1, "{output}");
    }
    plain_text => (PLAIN_LINE.to_owned()),
    json => (serde_json::json!({
        "time": "2026-01-01T00:00:00.000Z", "level": "INFO", "part": "caller",
        "message": PLAIN_LINE.split_once("[caller] ").unwrap().1,
    }).to_string()),
}

#[test]
fn man_page_names_every_command() {
    let man_page = endivectl::cli::man_page();
    for command in ["check", "diff", "apply", "show", "status", "report", "trace", "leave"] {
        assert!(man_page.contains(command), "{command}");
    }
}

#[test]
fn line_without_events_has_no_events() {
    let line = PLAIN_LINE.split_once("events=").unwrap().0.to_owned() + "events=-";
    assert!(RequestLogLine::parse(&line).unwrap().events.is_empty());
}

proptest! {
    #[test]
    fn parsing_a_corrupted_line_does_not_panic(offset in 0..PLAIN_LINE.len(), text in "[ -~]{0,8}") {
        let line = format!("{}{text}{}", &PLAIN_LINE[..offset], &PLAIN_LINE[offset..]);
        let _ = RequestLogLine::parse(&line);
    }
}
