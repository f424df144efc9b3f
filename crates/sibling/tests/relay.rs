//! Questions between siblings over TCP.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use endivevale_core::{
    forward::{RelayAnswer, RelayAsk},
    intent::Rank,
    name::{RouteName, ServiceName},
};
use endivevale_sibling::relay::{
    HeadCodec, decode_answer, decode_question, encode_answer, encode_question,
};
use proptest::prelude::*;

/// A head that is its bytes.
struct Plain;

impl HeadCodec for Plain {
    type Head = Vec<u8>;

    fn encode(head: &Vec<u8>) -> Vec<u8> {
        head.clone()
    }

    fn decode(bytes: &[u8]) -> Option<Vec<u8>> {
        Some(bytes.to_vec())
    }
}

fn ask() -> RelayAsk<Vec<u8>> {
    RelayAsk {
        route: RouteName::try_new("r-1").unwrap(),
        shards: vec![ServiceName::try_new("s1").unwrap(), ServiceName::try_new("s2").unwrap()],
        top: usize::MAX,
        rank: Rank::new(2),
        answer_within: Duration::from_millis(40),
        objective: Duration::from_millis(136),
        patience: Duration::from_millis(800),
        head: Arc::new(vec![1, 2, 3]),
    }
}

#[test]
fn a_question_comes_back_as_it_was() {
    let ask = ask();
    let read = decode_question::<Plain>(&encode_question::<Plain>(&ask).unwrap()).unwrap();
    assert_eq!((&read.route, &read.shards, read.top), (&ask.route, &ask.shards, ask.top));
    assert_eq!((read.rank, read.objective, &read.head), (ask.rank, ask.objective, &ask.head));
}

proptest! {
    #[test]
    fn an_answer_comes_back_as_it_was(
        body in prop::collection::vec(any::<u8>(), 0..400),
        parts in prop::collection::vec((any::<u16>(), "[a-f0-9.]{1,30}"), 0..60),
        unasked in prop::collection::vec(any::<u16>(), 0..60),
        is_last in any::<bool>(),
    ) {
        let parts = parts.into_iter().map(|(place, s)| (place, Arc::from(s))).collect();
        let answer = RelayAnswer { body: Bytes::from(body), parts, unasked, is_last };
        prop_assert_eq!(decode_answer(&encode_answer(&answer).unwrap()), Ok(answer));
    }

    #[test]
    fn bytes_that_are_no_message_are_dropped(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(decode_answer(&bytes).is_err());
        prop_assert!(decode_question::<Plain>(&bytes).is_err());
    }
}
