//! The bounds within which bodies and streams are read.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use bytes::Bytes;
use endivevale_cases::cases;
use endivevale_core::byte_budget::{ByteBudget, FREE_BYTES};
use endivevale_socket::{BodyError, read_body, read_stream};
use http_body_util::Full;

/// The largest message of these tests, in bytes.
const MAX_BYTES: usize = 4 * FREE_BYTES;

/// Reads a message of `len` bytes as a body and as a stream.
async fn read_both_ways(len: usize, budget: &ByteBudget) -> [Result<Bytes, BodyError>; 2] {
    let message = vec![b'x'; len];
    let body = Full::new(Bytes::from(message.clone()));
    let as_body = read_body(body, MAX_BYTES, budget).await;
    let was_left = budget.left();
    drop(as_body);
    let body = Full::new(Bytes::from(message.clone()));
    let as_body = read_body(body, MAX_BYTES, budget).await;
    assert_eq!(budget.left(), was_left);
    let as_body = as_body.map(|bytes| Bytes::copy_from_slice(&bytes));
    [as_body, read_stream(&message[..], MAX_BYTES, budget).await]
}

/// The name of a result, for comparison.
fn name(result: &Result<Bytes, BodyError>) -> &'static str {
    match result {
        Ok(_) => "read",
        Err(BodyError::TooLarge(_)) => "too large",
        Err(BodyError::BudgetExhausted) => "exhausted",
        Err(BodyError::Broken(_)) => "broken",
    }
}

cases! {
    async fn message_is_read_within_its_limit_and_the_budget(
        len: usize, budget_size: usize, expected: &str
    ) {
        let budget = ByteBudget::new(budget_size);
        let results = read_both_ways(len, &budget).await;
        assert_eq!(results.each_ref().map(name), [expected; 2]);
        drop(results);
        assert_eq!(budget.left(), budget_size);
    }
    empty => (0, 0, "read"),
    usual_size_without_budget => (FREE_BYTES, 0, "read"),
    larger_within_the_budget => (FREE_BYTES + 100, 100, "read"),
    larger_than_the_budget => (FREE_BYTES + 101, 100, "exhausted"),
    at_the_limit => (MAX_BYTES, MAX_BYTES, "read"),
    over_the_limit => (MAX_BYTES + 1, 2 * MAX_BYTES, "too large"),
}
