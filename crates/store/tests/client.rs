//! Tests of the store client against a simulated store.

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
    MAX_OBJECT_BYTES, ObjectStoreClient, Precondition, StoreError,
    accepted_config::{self, ApplyOutcome, IntentRecord},
    claims::ObjectClaimStore,
};
use tokio::time::Instant;

async fn start() -> (StandinPlatform, Arc<ObjectStoreClient>) {
    let store = StandinPlatform::start().await.unwrap();
    let client = Arc::new(ObjectStoreClient::new(&store.url()));
    (store, client)
}

#[tokio::test]
async fn writes_without_their_precondition_have_no_effect() {
    let (_store, client) = start().await;
    let put = async |body: &'static str, precondition| {
        client.put("k", "n", body.into(), precondition).await
    };
    let first = put("a", Precondition::Absent).await.unwrap();
    assert_eq!(put("b", Precondition::Absent).await, Err(StoreError::Conflict(Some(first))));
    let second = put("b", Precondition::Version(first)).await.unwrap();
    assert!(second > first);
    let stale = put("c", Precondition::Version(first)).await;
    assert_eq!(stale, Err(StoreError::Conflict(Some(second))));
    assert_eq!(&client.get("k", "n").await.unwrap().unwrap().body[..], b"b");
    let stale = client.delete("k", "n", first).await;
    assert_eq!(stale, Err(StoreError::Conflict(Some(second))));
    client.delete("k", "n", second).await.unwrap();
    assert_eq!(client.get("k", "n").await, Ok(None));
}

#[tokio::test]
async fn oversized_object_is_not_sent() {
    let (store, client) = start().await;
    let body = vec![0; MAX_OBJECT_BYTES + 1].into();
    let put = client.put("k", "n", body, Precondition::Absent).await;
    assert_eq!(put, Err(StoreError::TooLarge));
    assert_eq!(store.call_counts().total(), 0);
}

#[tokio::test]
async fn watch_waits_for_a_higher_version() {
    let (store, client) = start().await;
    let first = client.put("k", "n", "a".into(), Precondition::Absent).await.unwrap();
    let unchanged = client.watch("k", "n", first, Duration::from_millis(50)).await;
    assert_eq!(unchanged, Ok(None));
    let watch = client.watch("k", "n", first, Duration::from_secs(5));
    let write = client.put("k", "n", "b".into(), Precondition::Version(first));
    let (watched, written) = tokio::join!(watch, write);
    assert_eq!(watched.unwrap().unwrap().version, written.unwrap());
    store.set_outage(true);
    assert!(client.watch("k", "n", first, Duration::from_secs(5)).await.is_err());
}

#[tokio::test]
async fn calls_over_the_budget_are_not_sent() {
    let (store, client) = start().await;
    let mut not_sent = 0;
    for _ in 0..300 {
        not_sent += u32::from(client.get("k", "n").await == Err(StoreError::BudgetExhausted));
    }
    assert!(not_sent > 100, "{not_sent}");
    assert_eq!(store.call_counts().total(), 300 - u64::from(not_sent));
}

#[tokio::test]
async fn one_of_two_concurrent_applies_is_accepted() {
    let (store, client) = start().await;
    store.set_faults(PlatformFaults { lost_replies: 0.5, ..PlatformFaults::default() });
    for seed in 0..10 {
        store.set_seed(seed);
        let base = accepted_config::read_accepted_config(&client)
            .await
            .unwrap()
            .map_or(ConfigVersion::NONE, |r| r.0);
        let (a, b) = (IntentRecord::new("a", "one"), IntentRecord::new("b", "two"));
        let (a, b) = tokio::join!(
            accepted_config::apply_config(&client, &a, base),
            accepted_config::apply_config(&client, &b, base)
        );
        let accepted =
            [&a, &b].into_iter().filter(|r| matches!(r, ApplyOutcome::Accepted(_))).count();
        assert_eq!(accepted, 1, "seed {seed}: {a:?} {b:?}");
    }
}

#[tokio::test]
async fn one_of_two_concurrent_claims_of_a_key_succeeds() {
    let (store, client) = start().await;
    store.set_faults(PlatformFaults { lost_replies: 0.5, ..PlatformFaults::default() });
    let claims = ObjectClaimStore::new(client);
    for n in 0..10 {
        let key = || {
            ClaimKey::new(
                &ServiceName::try_new("orders").unwrap(),
                &CallerName::try_new("desk").unwrap(),
                &IdempotencyKey::try_new(&format!("o-{n}")).unwrap(),
            )
        };
        let deadline = Instant::now() + Duration::from_secs(5);
        let (a, b) = tokio::join!(
            Claim::new(key()).acquire(&claims, deadline),
            Claim::new(key()).acquire(&claims, deadline)
        );
        let kinds: Vec<_> = [a.err(), b.err()].into_iter().flatten().collect();
        assert_eq!(kinds, [ErrorKind::KeyClaimed], "key {n}");
    }
}
