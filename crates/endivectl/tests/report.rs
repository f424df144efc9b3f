//! The burn report and the trace of a request.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::process::Stdio;

use bytes::Bytes;
use endivectl::{html, lines::RequestLine, report::BurnReport};
use endivevale_cases::cases;
use endivevale_core::burn_rate::{ObjectiveTargets, RequestCounts};
use endivevale_operator::burn::{InstanceTally, Kind, Subject, SubjectTally, WindowTally};
use endivevale_standin::http::{Limits, Reply, serve};
use proptest::prelude::*;
use tokio::{io::AsyncWriteExt, net::TcpListener, process::Command};

fn tally(instance: &str, asked: u64, in_time: u64) -> InstanceTally {
    let subject = Subject { kind: Kind::Route, name: "sweep".into(), rank: 1 };
    let tally = RequestCounts { asked, in_time, whole: asked, refused: 0 };
    let subjects = vec![SubjectTally { subject, targets: ObjectiveTargets::ROUTE_DEFAULTS, tally }];
    let window = WindowTally { window_s: 300, covered_s: asked, subjects };
    InstanceTally { instance: instance.to_owned(), windows: vec![window] }
}

#[test]
fn instances_are_added_up_and_the_least_covered_counts() {
    let at = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], n));
    let answers = [
        (at(1), Ok(tally("a", 100, 100))),
        (at(2), Ok(tally("b", 60, 40))),
        (at(3), Err("x".into())),
    ];
    let report = BurnReport::build(&answers);
    assert_eq!((report.asked, report.unreachable.len(), report.is_whole()), (2, 1, false));
    assert_eq!(report.windows[0].covered_s, 60);
    let row = &report.windows[0].rows[0];
    assert_eq!((row.tally.asked, row.tally.in_time), (160, 140));
    // An eighth is late where a hundredth may be.
    assert!((row.highest() - 12.5).abs() < 1e-6, "{}", row.highest());
    assert!(report.to_text().contains("the objective will be missed"));
    let page = html::page(&report);
    assert!(page.contains("127.0.0.1:3 could not be asked") && page.contains("<svg"));
}

#[test]
fn a_page_escapes_what_others_named() {
    let at = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let page = html::page(&BurnReport::build(&[(at, Err("<script>".into()))]));
    assert!(page.contains("&lt;script&gt;") && !page.contains("<script>"));
}

/// Runs the command with a text on standard input.
async fn ctl(args: &[&str], input: &str) -> (i32, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_endivectl"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    stdin.write_all(input.as_bytes()).await.unwrap();
    drop(stdin);
    let out = child.wait_with_output().await.unwrap();
    let text = [out.stdout, out.stderr].concat();
    (out.status.code().unwrap(), String::from_utf8(text).unwrap())
}

#[tokio::test]
async fn a_report_asks_instances_and_names_those_it_could_not_ask() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let json = Bytes::from(serde_json::to_vec(&tally("a", 100, 99)).unwrap());
    let _instance = serve(listener, Limits::default(), move |_| {
        let json = json.clone();
        async { Reply::Whole(hyper::Response::new(json)) }
    });
    let (code, out) = ctl(&["report", "burn", "--instance", &addr], "").await;
    assert_eq!(code, 0, "{out}");
    assert!(out.contains("route sweep rank 1: 100 requests, in_time 1.00"), "{out}");
    let args = ["report", "burn", "--instance", &addr, "--instance", "127.0.0.1:9"];
    let (code, out) = ctl(&args, "").await;
    assert_eq!(code, 1, "{out}");
    assert!(out.contains("1 of 2 instances were asked"), "{out}");
    assert!(out.contains("127.0.0.1:9 could not be asked"), "{out}");
}

const PLAIN: &str = "2026-01-01T00:00:00.000Z INFO  [caller] request=r1 route=sweep version=4 \
    failed kind=searcher_failed why=\"8 of 10 shards answered, 9 are needed\" ms=12.5 \
    patience_ms=800 left_out=0 events=s1/a@5.0=slow,s1/-@5.1=over_budget,s2/b@6.0=lost:broken";

cases! {
    fn a_trace_finds_the_lines_of_a_request(line: String) {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let log = format!("2026 INFO  [node] Serving.\nno line at all\n{line}\n");
        let (code, out) = runtime.block_on(ctl(&["trace", "r1"], &log));
        assert_eq!(code, 0, "{out}");
        assert!(out.contains("8 of 10 shards answered") && out.contains("lost:broken"), "{out}");
        assert_eq!(out.lines().count(), 4, "{out}");
        let (code, out) = runtime.block_on(ctl(&["trace", "r2"], &log));
        assert_eq!(code, 1, "{out}");
    }
    plain => (PLAIN.to_owned()),
    json => (serde_json::json!({
        "time": "2026-01-01T00:00:00.000Z", "level": "INFO", "part": "caller",
        "message": PLAIN.split_once("[caller] ").unwrap().1,
    }).to_string()),
}

#[test]
fn the_manual_names_every_command() {
    let manual = endivectl::cli::manual();
    for command in ["check", "diff", "apply", "show", "status", "report", "trace", "leave"] {
        assert!(manual.contains(command), "{command}");
    }
}

#[test]
fn a_request_without_events_has_none() {
    let line = PLAIN.split_once("events=").unwrap().0.to_owned() + "events=-";
    assert!(RequestLine::parse(&line).unwrap().events.is_empty());
}

proptest! {
    #[test]
    fn a_damaged_line_never_panics(at in 0..PLAIN.len(), text in "[ -~]{0,8}") {
        let line = format!("{}{text}{}", &PLAIN[..at], &PLAIN[at..]);
        let _ = RequestLine::parse(&line);
    }
}
