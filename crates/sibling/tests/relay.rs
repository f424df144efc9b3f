//! Relaying of sub-requests between siblings over TCP.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{io::Write, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use endivevale_core::{
    forward::{RelayReply, RelayRequest, RelayServer},
    intent::Rank,
    name::{RouteName, ServiceName},
};
use endivevale_sibling::{
    heartbeat::SiblingAddrs,
    relay::{
        self, RequestHeadCodec, decode_relay_reply, decode_relay_request, encode_relay_reply,
        encode_relay_request,
    },
};
use proptest::prelude::*;
use tokio::{net::TcpListener, time::sleep};

#[path = "../../core/tests/sim/mod.rs"]
mod sim;

use sim::{MS, Sim, shard_route, zone_name};

/// Uses the bytes of a request head without change.
struct IdentityCodec;

impl RequestHeadCodec for IdentityCodec {
    type Head = Vec<u8>;

    fn encode(head: &Vec<u8>) -> Vec<u8> {
        head.clone()
    }

    fn decode(bytes: &[u8]) -> Option<Vec<u8>> {
        Some(bytes.to_vec())
    }
}

fn relay_request<H>(head: H) -> RelayRequest<H> {
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
fn relay_request_round_trips() {
    let sent = relay_request(vec![1, 2, 3]);
    let decoded = decode_relay_request::<IdentityCodec>(
        &encode_relay_request::<IdentityCodec>(&sent).unwrap(),
    )
    .unwrap();
    assert_eq!(
        (&decoded.route, &decoded.shards, decoded.top),
        (&sent.route, &sent.shards, sent.top)
    );
    assert_eq!(
        (decoded.rank, decoded.objective_in, &decoded.head),
        (sent.rank, sent.objective_in, &sent.head)
    );
}

/// Encodes a request head without content as no bytes.
struct EmptyCodec;

impl RequestHeadCodec for EmptyCodec {
    type Head = ();

    fn encode((): &()) -> Vec<u8> {
        Vec::new()
    }

    fn decode(_: &[u8]) -> Option<()> {
        Some(())
    }
}

/// Starts a relay server with the searchers of `sim` and returns its address.
async fn serve(sim: &Sim) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let siblings = Arc::new(SiblingAddrs::default());
    siblings.replace([addr].into());
    let (views, transport) = (Arc::clone(&sim.views), Arc::clone(&sim.transport));
    let service = Arc::new(RelayServer::new(views, transport, zone_name("a")));
    tokio::spawn(relay::serve_relay_requests::<EmptyCodec, _>(listener, siblings, service));
    addr
}

/// An instance with little CPU time may read a relay request only after the
/// sibling that sent it has timed out and closed the connection. The server must
/// then send no sub-requests.
#[tokio::test]
async fn cancelled_relay_request_reaches_no_searcher() {
    let mut sim = Sim::new();
    sim.add_searcher("s1", "s1a", "a", MS);
    sim.add_searcher("s2", "s2a", "a", MS);
    sim.apply_routes(vec![shard_route(&["s1", "s2"], 0.5)]);
    let addr = serve(&sim).await;
    let message = encode_relay_request::<EmptyCodec>(&relay_request(())).unwrap();
    // Blocking calls on the single thread of the runtime: the server reads
    // nothing before the connection is closed.
    let mut stream = std::net::TcpStream::connect(addr).unwrap();
    stream.write_all(&(message.len() as u32).to_le_bytes()).unwrap();
    stream.write_all(&message).unwrap();
    drop(stream);
    sleep(100 * MS).await;
    assert_eq!(sim.transport.received_total(), 0);
}

proptest! {
    #[test]
    fn relay_reply_round_trips(
        body in prop::collection::vec(any::<u8>(), 0..400),
        parts in prop::collection::vec((any::<u16>(), "[a-f0-9.]{1,30}"), 0..60),
        unreached in prop::collection::vec(any::<u16>(), 0..60),
        is_last in any::<bool>(),
    ) {
        let parts =
            parts.into_iter().map(|(shard, signature)| (shard, Arc::from(signature))).collect();
        let reply = RelayReply { body: Bytes::from(body), parts, unreached, is_last };
        prop_assert_eq!(decode_relay_reply(&encode_relay_reply(&reply).unwrap()), Ok(reply));
    }

    #[test]
    fn random_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(decode_relay_reply(&bytes).is_err());
        prop_assert!(decode_relay_request::<IdentityCodec>(&bytes).is_err());
    }
}
