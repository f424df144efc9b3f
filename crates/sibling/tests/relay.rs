//! Questions between siblings over TCP.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{io::Write, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use endivevale_core::{
    forward::{RelayReply, RelayRequest, RelayServer},
    intent::Rank,
    name::{RouteName, ServiceName},
};
use endivevale_sibling::{
    heartbeat::Siblings,
    relay::{self, HeadCodec, decode_answer, decode_question, encode_answer, encode_question},
};
use proptest::prelude::*;
use tokio::{net::TcpListener, time::sleep};

#[path = "../../core/tests/sim/mod.rs"]
mod sim;

use sim::{MS, Sim, shard_route, zone_name};

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

fn ask<H>(head: H) -> RelayRequest<H> {
    RelayRequest {
        route: RouteName::try_new("r-1").unwrap(),
        shards: vec![ServiceName::try_new("s1").unwrap(), ServiceName::try_new("s2").unwrap()],
        top: usize::MAX,
        rank: Rank::new(2),
        first_reply_within: Duration::from_millis(40),
        objective_in: Duration::from_millis(136),
        deadline_in: Duration::from_millis(800),
        head: Arc::new(head),
    }
}

#[test]
fn a_question_comes_back_as_it_was() {
    let ask = ask(vec![1, 2, 3]);
    let read = decode_question::<Plain>(&encode_question::<Plain>(&ask).unwrap()).unwrap();
    assert_eq!((&read.route, &read.shards, read.top), (&ask.route, &ask.shards, ask.top));
    assert_eq!((read.rank, read.objective_in, &read.head), (ask.rank, ask.objective_in, &ask.head));
}

/// A head of nothing.
struct Empty;

impl HeadCodec for Empty {
    type Head = ();

    fn encode((): &()) -> Vec<u8> {
        Vec::new()
    }

    fn decode(_: &[u8]) -> Option<()> {
        Some(())
    }
}

/// Serves questions over the shards `s1` and `s2`.
async fn serve(sim: &Sim) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let siblings = Arc::new(Siblings::default());
    siblings.replace([addr].into());
    let (views, transport) = (Arc::clone(&sim.views), Arc::clone(&sim.transport));
    let service = Arc::new(RelayServer::new(views, transport, zone_name("a")));
    tokio::spawn(relay::serve::<Empty, _>(listener, siblings, service));
    addr
}

/// Pattern: an instance with little of a core reads a question only after the
/// sibling that asked has given up.
#[tokio::test]
async fn a_question_that_nobody_waits_for_any_more_is_not_taken_up() {
    let mut sim = Sim::new();
    sim.add_searcher("s1", "s1a", "a", MS);
    sim.add_searcher("s2", "s2a", "a", MS);
    sim.apply_routes(vec![shard_route(&["s1", "s2"], 0.5)]);
    let addr = serve(&sim).await;
    let question = encode_question::<Empty>(&ask(())).unwrap();
    // The runtime of the test has one thread, so nothing is read meanwhile.
    let mut stream = std::net::TcpStream::connect(addr).unwrap();
    stream.write_all(&(question.len() as u32).to_le_bytes()).unwrap();
    stream.write_all(&question).unwrap();
    drop(stream);
    sleep(100 * MS).await;
    assert_eq!(sim.transport.received_total(), 0);
}

proptest! {
    #[test]
    fn an_answer_comes_back_as_it_was(
        body in prop::collection::vec(any::<u8>(), 0..400),
        parts in prop::collection::vec((any::<u16>(), "[a-f0-9.]{1,30}"), 0..60),
        unreached in prop::collection::vec(any::<u16>(), 0..60),
        is_last in any::<bool>(),
    ) {
        let parts = parts.into_iter().map(|(place, s)| (place, Arc::from(s))).collect();
        let answer = RelayReply { body: Bytes::from(body), parts, unreached, is_last };
        prop_assert_eq!(decode_answer(&encode_answer(&answer).unwrap()), Ok(answer));
    }

    #[test]
    fn bytes_that_are_no_message_are_dropped(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(decode_answer(&bytes).is_err());
        prop_assert!(decode_question::<Plain>(&bytes).is_err());
    }
}
