//! The settings of a node that forwards, as the deployed template gives them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use endivevale::settings::{ForwardingSettings, Settings};
use endivevale_cases::cases;

fn text(ratio: &str, allowance: &str, window: &str, grace: &str) -> String {
    format!(
        "name: 'edge-1'\nzone: 'a'\nlisten: {{caller: '10.0.0.1:1', admin: '10.0.0.1:2', \
         sibling: '10.0.0.1:3'}}\nplatform: 'http://10.0.0.9:1'\nseeds: ['10.0.0.1:3','10.0.0.2:3']\n\
         stop: {{settle: 2300ms}}\nthreads: 2\nforwarding:\n  answer_margin: 11ms\n  \
         extra_attempts: {ratio}\n  extra_allowance: {allowance}\n  extra_window: '{window}s'\n  \
         grace: '{grace}s'\n  relay: '10.0.0.1:7740'\n"
    )
}

fn forwarding(text: &str) -> ForwardingSettings {
    Settings::parse("settings.yaml", text).unwrap().forwarding.unwrap()
}

cases! {
    fn figures_of_the_platform_may_have_fractions(
        figures: [&str; 4],
        allowance: f64,
        window_ms: u64,
        grace_ms: u64,
    ) {
        let [ratio, extra, window, grace] = figures;
        let read = forwarding(&text(ratio, extra, window, grace));
        assert_eq!(read.extra_allowance, allowance);
        assert_eq!(read.extra_window, Duration::from_millis(window_ms));
        assert_eq!(read.grace, Duration::from_millis(grace_ms));
    }
    whole => (["0.2", "58", "10", "6"], 58.0, 10_000, 6_000),
    fractions => (["0.25", "58.5", "7.5", "6.25"], 58.5, 7_500, 6_250),
    no_extra => (["0", "0", "10", "6"], 0.0, 10_000, 6_000),
}

#[test]
fn a_margin_is_kept_of_the_share_of_extra_attempts() {
    let terms = forwarding(&text("0.2", "58", "10", "6")).retry_terms();
    assert!((terms.share - 0.18).abs() < 1e-9);
}

#[test]
fn faults_name_their_line_and_field() {
    let faults = Settings::parse("settings.yaml", &text("2", "-1", "x", "6")).unwrap_err();
    let told: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(told.len(), 3, "{told:?}");
    assert!(told.iter().all(|t| t.contains("forwarding.extra")), "{told:?}");
}

#[test]
fn a_change_of_seeds_needs_no_restart_and_a_change_of_addresses_does() {
    let first = text("0.2", "58", "10", "6");
    let parse = |text: &str| Settings::parse("settings.yaml", text).unwrap();
    let seeds = parse(&first.replace("'10.0.0.2:3'", "'10.0.0.7:3'"));
    let address = parse(&first.replace("10.0.0.9:1", "10.0.0.9:2"));
    assert!(!parse(&first).needs_restart(&seeds));
    assert!(parse(&first).needs_restart(&address));
}
