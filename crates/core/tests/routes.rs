//! Routes, splits and the merge of records.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::HashMap;

use bytes::Bytes;
use endivevale_cases::cases;
use endivevale_core::{
    name::{RouteName, ServiceName},
    records::{RECORD_BYTES, greatest},
    route::{Route, RouteTable, ShardSet, Split, Target},
};
use proptest::prelude::*;

fn service(name: &str) -> ServiceName {
    ServiceName::try_new(name).unwrap()
}

fn route(name: &str) -> Route {
    Route::new(RouteName::try_new(name).unwrap(), Target::One(service("s")))
}

fn table() -> RouteTable {
    RouteTable::build([
        ("a.example", "/x/", route("short")),
        ("a.example", "/x/y/", route("long")),
        ("b.example", "/x/", route("other-host")),
    ])
}

cases! {
    fn a_request_takes_the_longest_prefix_of_its_host(host: &str, path: &str, want: Option<&str>) {
        let table = table();
        let found = table.find(host, path).map(|route| route.name.as_str().to_owned());
        assert_eq!(found.as_deref(), want);
    }
    short => ("a.example", "/x/1", Some("short")),
    long => ("a.example", "/x/y/1", Some("long")),
    not_whole_segment => ("a.example", "/xy/", None),
    prefix_itself => ("a.example", "/x/", Some("short")),
    without_slash => ("a.example", "/x", None),
    other_host => ("b.example", "/x/y/1", Some("other-host")),
    unknown_host => ("c.example", "/x/1", None),
    with_port => ("a.example:8080", "/x/1", Some("short")),
    other_case => ("A.Example", "/x/1", Some("short")),
}

cases! {
    fn the_least_coverage_counts_whole_shards(shards: usize, share: f64, want: usize) {
        let set = ShardSet {
            shards: (0..shards).map(|n| service(&format!("s{n}"))).collect(),
            top: 5,
            least_coverage: share,
        };
        assert_eq!(set.least_shards(), want);
    }
    nine_of_ten => (10, 0.89, 9),
    three_quarters => (10, 0.75, 8),
    exact => (4, 0.75, 3),
    all => (36, 1.0, 36),
    grown => (36, 0.95, 35),
    never_none => (10, 0.0, 1),
}

#[test]
fn a_split_keeps_its_shares_over_any_short_run() {
    let parts = vec![(service("a"), 70), (service("b"), 25), (service("c"), 5)];
    let route = route("split");
    let split = Split::try_new(parts).unwrap();
    for _ in 0..20 {
        let mut counts: HashMap<String, u32> = HashMap::new();
        for _ in 0..100 {
            *counts.entry(route.next_of(&split).to_string()).or_default() += 1;
        }
        assert!((65..=75).contains(&counts["a"]), "{counts:?}");
        assert!((20..=30).contains(&counts["b"]), "{counts:?}");
    }
}

#[test]
fn a_split_without_weight_is_none() {
    assert!(Split::try_new(vec![(service("a"), 0)]).is_none());
    assert!(Split::try_new(vec![]).is_none());
}

proptest! {
    #[test]
    fn the_greatest_records_are_those_of_a_plain_sort(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..8),
        top in 0_usize..20,
    ) {
        let mut all: Vec<&[u8]> =
            parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
        all.sort();
        let want: Vec<u8> = all.into_iter().rev().take(top).flatten().copied().collect();
        let parts: Vec<Bytes> = parts.into_iter().map(Bytes::from).collect();
        prop_assert_eq!(greatest(&parts, top), want);
    }
}

#[test]
fn equal_records_all_count_and_a_remainder_does_not() {
    let part = |text: &str| Bytes::from(text.to_owned());
    let parts = [part("000000000000000100"), part("0000000000000001")];
    assert_eq!(greatest(&parts, 5), b"00000000000000010000000000000001");
}
