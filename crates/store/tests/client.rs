//! The platform client against a stand-in platform.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{sync::Arc, time::Duration};

use endivevale_core::{
    claim::{Claim, ClaimKey},
    error::ErrorKind,
    intent::ConfigVersion,
    name::{CallerName, IdempotencyKey, ServiceName},
};
use endivevale_standin::platform::{PlatformFaults, StandinPlatform};
use endivevale_store::{
    Condition, MAX_OBJECT_BYTES, Platform, PlatformError,
    claims::PlatformClaims,
    intent::{self, Applied, IntentRecord},
};
use tokio::time::Instant;

async fn start() -> (StandinPlatform, Arc<Platform>) {
    let standin = StandinPlatform::start().await.unwrap();
    let client = Arc::new(Platform::new(&standin.url()));
    (standin, client)
}

#[tokio::test]
async fn writes_take_effect_under_their_condition_only() {
    let (_standin, platform) = start().await;
    let put =
        async |body: &'static str, condition| platform.put("k", "n", body.into(), condition).await;
    let first = put("a", Condition::Absent).await.unwrap();
    assert_eq!(put("b", Condition::Absent).await, Err(PlatformError::Conflict(Some(first))));
    let second = put("b", Condition::Version(first)).await.unwrap();
    assert!(second > first);
    let stale = put("c", Condition::Version(first)).await;
    assert_eq!(stale, Err(PlatformError::Conflict(Some(second))));
    assert_eq!(&platform.get("k", "n").await.unwrap().unwrap().body[..], b"b");
    let stale = platform.delete("k", "n", first).await;
    assert_eq!(stale, Err(PlatformError::Conflict(Some(second))));
    platform.delete("k", "n", second).await.unwrap();
    assert_eq!(platform.get("k", "n").await, Ok(None));
}

#[tokio::test]
async fn an_object_over_the_limit_is_not_sent() {
    let (standin, platform) = start().await;
    let body = vec![0; MAX_OBJECT_BYTES + 1].into();
    let put = platform.put("k", "n", body, Condition::Absent).await;
    assert_eq!(put, Err(PlatformError::TooLarge));
    assert_eq!(standin.calls().total(), 0);
}

#[tokio::test]
async fn a_watch_waits_for_a_higher_version() {
    let (standin, platform) = start().await;
    let first = platform.put("k", "n", "a".into(), Condition::Absent).await.unwrap();
    let none = platform.watch("k", "n", first, Duration::from_millis(50)).await;
    assert_eq!(none, Ok(None));
    let watch = platform.watch("k", "n", first, Duration::from_secs(5));
    let write = platform.put("k", "n", "b".into(), Condition::Version(first));
    let (seen, written) = tokio::join!(watch, write);
    assert_eq!(seen.unwrap().unwrap().version, written.unwrap());
    standin.set_out(true);
    assert!(platform.watch("k", "n", first, Duration::from_secs(5)).await.is_err());
}

#[tokio::test]
async fn calls_stop_when_the_budget_is_spent() {
    let (standin, platform) = start().await;
    let mut refused = 0;
    for _ in 0..300 {
        refused += u32::from(platform.get("k", "n").await == Err(PlatformError::OverBudget));
    }
    assert!(refused > 100, "{refused}");
    assert_eq!(standin.calls().total(), 300 - u64::from(refused));
}

#[tokio::test]
async fn of_two_applies_over_one_base_one_is_accepted() {
    let (standin, platform) = start().await;
    standin.set_faults(PlatformFaults { lost_replies: 0.5, ..PlatformFaults::default() });
    for seed in 0..10 {
        standin.set_seed(seed);
        let base = intent::read(&platform).await.unwrap().map_or(ConfigVersion::NONE, |r| r.0);
        let (a, b) = (IntentRecord::new("a", "one"), IntentRecord::new("b", "two"));
        let (a, b) =
            tokio::join!(intent::apply(&platform, &a, base), intent::apply(&platform, &b, base));
        let accepted = [&a, &b].into_iter().filter(|r| matches!(r, Applied::Accepted(_))).count();
        assert_eq!(accepted, 1, "seed {seed}: {a:?} {b:?}");
    }
}

#[tokio::test]
async fn of_two_claims_of_one_key_one_holds() {
    let (standin, platform) = start().await;
    standin.set_faults(PlatformFaults { lost_replies: 0.5, ..PlatformFaults::default() });
    let claims = PlatformClaims::new(platform);
    for n in 0..10 {
        let key = || {
            ClaimKey::new(
                &ServiceName::try_new("orders").unwrap(),
                &CallerName::try_new("desk").unwrap(),
                &IdempotencyKey::try_new(&format!("o-{n}")).unwrap(),
            )
        };
        let by = Instant::now() + Duration::from_secs(5);
        let (a, b) = tokio::join!(
            Claim::new(key()).acquire(&claims, by),
            Claim::new(key()).acquire(&claims, by)
        );
        let kinds: Vec<_> = [a.err(), b.err()].into_iter().flatten().collect();
        assert_eq!(kinds, [ErrorKind::KeyClaimed], "key {n}");
    }
}
