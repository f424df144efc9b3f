//! Relaying of sub-requests between siblings over TCP.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{io::Write, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use endivevale_core::{
    forward::{RelayClient, RelayReplies, RelayReply, RelayRequest, RelayServer},
    intent::Rank,
    name::{InstanceName, RouteName, SearcherName, ServiceName},
    quarantine::{CrashedSearcher, RequestFingerprint},
    sibling::Sibling,
};
use endivevale_sibling::{
    heartbeat::SiblingAddrs,
    relay::{
        self, RelayPermits, RequestHeadCodec, TcpRelayClient, decode_relay_reply,
        decode_relay_request, encode_relay_reply, encode_relay_request,
    },
};
use proptest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

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
        id: "r1".into(),
        route: RouteName::try_new("r-1").unwrap(),
        shards: vec![ServiceName::try_new("s1").unwrap(), ServiceName::try_new("s2").unwrap()],
        top_k: usize::MAX,
        max_attempts: 2,
        attempted_in: None,
        rank: Rank::new(2),
        first_reply_within: Duration::from_millis(40),
        objective_in: Duration::from_millis(136),
        deadline_in: Duration::from_millis(800),
        fingerprint: RequestFingerprint::of([&b"q"[..]]),
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
        (&decoded.route, &decoded.shards, decoded.top_k),
        (&sent.route, &sent.shards, sent.top_k)
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
    serve_with(sim, RelayPermits::default()).await
}

async fn serve_with(sim: &Sim, permits: RelayPermits) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let siblings = Arc::new(SiblingAddrs::default());
    siblings.replace([addr].into());
    let (views, transport) = (Arc::clone(&sim.views), Arc::clone(&sim.transport));
    let service = Arc::new(RelayServer::new(views, transport, zone_name("a")));
    tokio::spawn(relay::serve_relay_requests::<EmptyCodec, _>(
        listener, siblings, service, permits,
    ));
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

/// Returns a client and the server at this address as its sibling.
fn client_of(addr: SocketAddr) -> (TcpRelayClient<EmptyCodec>, Sibling) {
    let name = InstanceName::try_new("entry-2").unwrap();
    (TcpRelayClient::new(), Sibling::new(name, zone_name("a"), addr))
}

/// Returns a deployment of two shards whose searchers take this long.
fn two_shards(service_time: Duration) -> Sim {
    let mut sim = Sim::new();
    for shard in ["s1", "s2"] {
        sim.add_searcher(shard, &format!("{shard}a"), "a", service_time);
        sim.add_searcher(shard, &format!("{shard}b"), "b", service_time);
    }
    sim.apply_routes(vec![shard_route(&["s1", "s2"], 0.5)]);
    sim
}

/// An instance that is stopped in order must not lose the relayed requests that it
/// has begun; further ones are rejected, so that the sibling sends them itself.
#[tokio::test]
async fn planned_stop_serves_relayed_requests_to_the_end() {
    let sim = two_shards(150 * MS);
    let permits = RelayPermits::default();
    let (client, sibling) = client_of(serve_with(&sim, permits.clone()).await);
    let mut begun = client.send(&sibling, relay_request(())).await.unwrap();
    assert_eq!(begun.next().await.unwrap().parts.len(), 0);
    let drain = tokio::spawn(async move { permits.drain().await });
    sleep(10 * MS).await;
    let mut rejected = client.send(&sibling, relay_request(())).await.unwrap();
    let reply = rejected.next().await.unwrap();
    assert_eq!((reply.unreached, reply.is_last), (vec![0, 1], true));
    assert!(!drain.is_finished());
    let late = [begun.next().await.unwrap(), begun.next().await.unwrap()];
    assert_eq!(late.map(|reply| reply.parts.len()), [1, 1]);
    drain.await.unwrap();
    assert_eq!(sim.transport.received_total(), 2);
}

/// The server sends a request to a second searcher only after the grant has come
/// over the connection.
#[tokio::test]
async fn granted_extra_attempts_are_sent_over_the_same_connection() {
    let sim = two_shards(MS);
    sim.transport.set_behaviour("s1a", sim::Behaviour::NeverReplies);
    sim.transport.set_behaviour("s2a", sim::Behaviour::NeverReplies);
    let (client, sibling) = client_of(serve(&sim).await);
    let mut replies = client.send(&sibling, relay_request(())).await.unwrap();
    assert_eq!(replies.next().await.unwrap().parts.len(), 0);
    sleep(50 * MS).await;
    assert_eq!(sim.transport.received_total(), 2);
    assert!(replies.grant_extra_attempts().await);
    let late = [replies.next().await.unwrap(), replies.next().await.unwrap()];
    assert_eq!(late.map(|reply| reply.parts.len()), [1, 1]);
    assert_eq!(sim.transport.received_total(), 4);
}

/// The last reply may cross the grant on its way. The server must then not take the
/// grant for the next request, or for one of it.
#[tokio::test]
async fn grant_after_the_last_reply_is_ignored() {
    let sim = two_shards(MS);
    let addr = serve(&sim).await;
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let request = encode_relay_request::<EmptyCodec>(&relay_request(())).unwrap();
    send_frame(&mut stream, &request).await;
    assert!(receive_reply(&mut stream).await.is_last);
    send_frame(&mut stream, &relay::encode_relay_grant().unwrap()).await;
    for name in ["s1a", "s2a"] {
        sim.transport.set_behaviour(name, sim::Behaviour::ReturnsErrors);
    }
    send_frame(&mut stream, &request).await;
    assert!(!receive_reply(&mut stream).await.is_last);
    assert_eq!(sim.transport.received_total(), 4);
}

async fn send_frame(stream: &mut TcpStream, message: &[u8]) {
    stream.write_all(&(message.len() as u32).to_le_bytes()).await.unwrap();
    stream.write_all(message).await.unwrap();
}

async fn receive_reply(stream: &mut TcpStream) -> RelayReply {
    let mut message = vec![0; stream.read_u32_le().await.unwrap() as usize];
    stream.read_exact(&mut message).await.unwrap();
    decode_relay_reply(&message).unwrap()
}

proptest! {
    #[test]
    fn relay_reply_round_trips(
        body in prop::collection::vec(any::<u8>(), 0..400),
        parts in prop::collection::vec((any::<u16>(), "[a-f0-9.]{1,30}"), 0..60),
        unreached in prop::collection::vec(any::<u16>(), 0..60),
        leaving in prop::collection::vec(("[a-z0-9-]{1,20}", any::<u64>()), 0..5),
        crashed in prop::collection::vec(("[a-z0-9-]{1,20}", any::<u64>()), 0..5),
        is_last in any::<bool>(),
    ) {
        let parts =
            parts.into_iter().map(|(shard, signature)| (shard, Arc::from(signature))).collect();
        let leaving = leaving
            .into_iter()
            .map(|(name, incarnation)| (SearcherName::try_new(&name).unwrap(), incarnation))
            .collect();
        let crashed = crashed
            .into_iter()
            .map(|(name, incarnation)| CrashedSearcher {
                name: SearcherName::try_new(&name).unwrap(),
                incarnation,
            })
            .collect();
        let body = Bytes::from(body);
        let reply = RelayReply { body, parts, unreached, leaving, crashed, is_last };
        prop_assert_eq!(decode_relay_reply(&encode_relay_reply(&reply).unwrap()), Ok(reply));
    }

    #[test]
    fn random_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(decode_relay_reply(&bytes).is_err());
        prop_assert!(decode_relay_request::<IdentityCodec>(&bytes).is_err());
    }
}
