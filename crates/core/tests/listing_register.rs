//! The listing that an instance passes on, and those who wait for its versions.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use endivevale_cases::cases;
use endivevale_core::{
    distribution::{ListingVersions, StoreRevision, register::ListingRegister},
    layout::Listing,
};
use tokio::time::timeout;

const fn at(number: u64) -> StoreRevision {
    StoreRevision::new(1, number)
}

fn listing(version: u64, step: u64, instances_version: u64) -> Listing {
    let [version, instances_version] = [version, instances_version].map(at);
    Listing { version, step, instances_version, ..Listing::default() }
}

cases! {
    // Guards against siblings that wait half a second for a version of the instances
    // which this instance has, but with equal instances, so that it passed on the old
    // one: each level of a distribution took that long.
    async fn waiters_get_the_versions_of_an_equal_content(update: Listing, expected: bool) {
        let register = ListingRegister::new();
        assert!(register.replace_if_newer(listing(7, 1, 20)));
        assert_eq!(register.replace_if_newer(update), expected);
        let awaited = ListingVersions { searchers: at(7), instances: at(31) };
        let waited = timeout(Duration::from_secs(1), register.wait_for(awaited)).await;
        assert_eq!(waited.is_ok(), expected);
    }
    instances_read_later => (listing(7, 1, 31), true),
    same_versions => (listing(7, 1, 20), false),
    older_content => (listing(7, 0, 31), false),
}
