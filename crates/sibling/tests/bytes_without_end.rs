//! Siblings that send bytes without end, or announce more than they send.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use endivevale_cases::cases;
use endivevale_core::{
    byte_budget::MAX_RELAY_BYTES_HELD,
    distribution::register::{ConfigRegister, ListingRegister},
    distribution::{ContentDigest, store_contact::ContactReport},
    forward::{RelayClient, RelayReplies, RelayReply, RelayRequest, RelayServer},
    intent::{ConfigVersion, Rank},
    name::{InstanceName, RouteName, ServiceName},
    sibling::Sibling,
};
use endivevale_sibling::{
    drop_counters::DropCounters,
    heartbeat::SiblingAddrs,
    relay::{self, RelayPermits, RequestHeadCodec, TcpRelayClient, encode_relay_reply},
    state_sync::{self, KnownState, StateRegisters, StateServer},
    transfer_counters::TransferCounters,
    wire::{self, ConfigTransfer, StateReply},
};
use endivevale_standin::endless_peer::{EndlessPeer, MAX_SOCKET_BYTES};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    sync::mpsc,
    time::timeout,
};

#[path = "../../core/tests/sim/mod.rs"]
mod sim;

use sim::{Sim, zone_name};

/// The largest relay message, in bytes.
const RELAY_MESSAGE_BYTES: usize = 512 * 1024;

/// The time within which an exchange must end.
const BOUND: Duration = Duration::from_secs(20);

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

async fn serve_relay() -> SocketAddr {
    let sim = Sim::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let siblings = Arc::new(SiblingAddrs::default());
    siblings.replace([addr].into());
    let (views, transport) = (Arc::clone(&sim.views), Arc::clone(&sim.transport));
    let service = Arc::new(RelayServer::new(views, transport, zone_name("a")));
    tokio::spawn(relay::serve_relay_requests::<EmptyCodec, _>(
        listener,
        siblings,
        service,
        RelayPermits::default(),
    ));
    addr
}

async fn serve_state() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let registers = StateRegisters {
        config: Arc::new(ConfigRegister::new()),
        listing: Arc::new(ListingRegister::new()),
        store_contact: Arc::default(),
        quarantine: Arc::default(),
    };
    let siblings = Arc::new(SiblingAddrs::default());
    siblings.replace(HashSet::from([addr]));
    let (announcement_tx, _) = mpsc::channel(1);
    let drop_counters = Arc::new(DropCounters::default());
    let server =
        StateServer::new(registers, siblings, drop_counters, Arc::default(), announcement_tx);
    tokio::spawn(Arc::new(server).serve(listener));
    addr
}

/// Announces a message of `announced` bytes and sends `sent` of them.
async fn begin_message(addr: SocketAddr, announced: usize, sent: usize) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let message = [&(announced as u32).to_le_bytes()[..], &vec![b'x'; sent]].concat();
    // An error means that the server has closed the connection.
    drop(stream.write_all(&message).await);
    stream
}

/// Returns whether the other side closes the connection within the bound.
async fn is_closed(stream: &mut TcpStream, bound: Duration) -> bool {
    let mut byte = [0];
    // A reset is a close, too.
    matches!(timeout(bound, stream.read(&mut byte)).await, Ok(Ok(0) | Err(_)))
}

// Guards against a connection that holds its bytes for ever: a message had no time
// limit once it had begun.
#[tokio::test(start_paused = true)]
async fn message_that_does_not_come_ends_its_connection() {
    for addr in [serve_relay().await, serve_state().await] {
        let mut stream = begin_message(addr, 100, 1).await;
        assert!(is_closed(&mut stream, BOUND).await);
    }
}

#[tokio::test]
async fn message_that_is_announced_as_too_large_ends_its_connection() {
    for addr in [serve_relay().await, serve_state().await] {
        let mut stream = begin_message(addr, 2 * RELAY_MESSAGE_BYTES, 1).await;
        assert!(is_closed(&mut stream, Duration::from_secs(5)).await);
    }
}

// Guards against a process that runs out of memory: each message had a limit of
// its own, but nothing bounded what the messages of all connections held together,
// and a message held what it announced before it came.
#[tokio::test]
async fn relay_messages_of_all_connections_share_a_budget() {
    let addr = serve_relay().await;
    let fitting = MAX_RELAY_BYTES_HELD / RELAY_MESSAGE_BYTES;
    let mut open = vec![];
    for _ in 0..fitting + 8 {
        open.push(begin_message(addr, RELAY_MESSAGE_BYTES, RELAY_MESSAGE_BYTES - 1).await);
    }
    let mut closed = 0;
    for stream in &mut open {
        closed += u32::from(is_closed(stream, Duration::from_millis(20)).await);
    }
    assert!(closed >= 1);
    // A request of usual size is served all the same.
    let (client, sibling) = client_of(addr);
    assert!(client.send(&sibling, relay_request()).await.unwrap().next().await.is_ok());
}

fn client_of(addr: SocketAddr) -> (TcpRelayClient<EmptyCodec>, Sibling) {
    let name = InstanceName::try_new("entry-2").unwrap();
    (TcpRelayClient::new(), Sibling::new(name, zone_name("a"), addr))
}

fn relay_request() -> RelayRequest<()> {
    RelayRequest {
        id: "r1".into(),
        route: RouteName::try_new("r-1").unwrap(),
        shards: vec![ServiceName::try_new("s1").unwrap()],
        top_k: usize::MAX,
        max_attempts: 2,
        attempted_in: None,
        rank: Rank::new(2),
        first_reply_within: Duration::from_millis(40),
        objective_in: Duration::from_millis(136),
        deadline_in: Duration::from_millis(800),
        fingerprint: Default::default(),
        head: Arc::new(()),
    }
}

/// Returns a relay reply after which others follow, with its length.
fn reply_that_is_not_the_last() -> Vec<u8> {
    let reply = RelayReply {
        is_last: false,
        body: Bytes::from(vec![b'x'; 20_000]),
        ..RelayReply::rejecting(&relay_request())
    };
    let message = encode_relay_reply(&reply).unwrap();
    [&(message.len() as u32).to_le_bytes()[..], &message].concat()
}

cases! {
    fn relay_reply_without_end_ends_the_request(first: Vec<u8>, repeated: Vec<u8>) {
        Runtime::new().unwrap().block_on(async {
            let peer = EndlessPeer::start(&first, &repeated).await.unwrap();
            let (client, sibling) = client_of(peer.addr());
            let mut replies = client.send(&sibling, relay_request()).await.unwrap();
            let until_error = async { while replies.next().await.is_ok() {} };
            timeout(BOUND, until_error).await.unwrap();
            let most = MAX_RELAY_BYTES_HELD as u64 + MAX_SOCKET_BYTES;
            assert!(peer.sent_bytes() < most, "{}", peer.sent_bytes());
        });
    }
    other_bytes => (vec![], b"good".to_vec()),
    a_large_message => (400_000_u32.to_le_bytes().to_vec(), b"good".to_vec()),
    a_message_that_stops => (400_000_u32.to_le_bytes().to_vec(), vec![]),
    // Guards against memory that grows until the caller's deadline.
    replies_without_a_last_one => (vec![], reply_that_is_not_the_last()),
}

/// Returns a reply whose configuration is far larger decompressed than a
/// configuration may be.
fn reply_that_decompresses_to_much() -> Vec<u8> {
    let transfer = ConfigTransfer {
        version: ConfigVersion::new(4),
        digest: ContentDigest::of("x"),
        is_change: false,
        bytes: zstd::bulk::compress(&vec![b'x'; 64 * 1024 * 1024], 1).unwrap(),
    };
    let store_contact = ContactReport::default();
    let reply =
        StateReply { config: Some(transfer), listing: None, store_contact, suspects: vec![] };
    let message = wire::encode_state_reply(&reply).unwrap();
    [&(message.len() as u32).to_le_bytes()[..], &message].concat()
}

cases! {
    fn state_reply_without_end_ends_the_exchange(first: Vec<u8>, repeated: Vec<u8>) {
        Runtime::new().unwrap().block_on(async {
            let peer = EndlessPeer::start(&first, &repeated).await.unwrap();
            let (known, counters) = (KnownState::default(), TransferCounters::default());
            let fetching = state_sync::fetch_state(peer.addr(), &known, &counters);
            let fetched = timeout(BOUND, fetching).await.unwrap();
            assert!(fetched.is_err(), "{fetched:?}");
        });
    }
    other_bytes => (vec![], b"good".to_vec()),
    a_large_message => (900_000_u32.to_le_bytes().to_vec(), b"good".to_vec()),
    a_message_that_stops => (900_000_u32.to_le_bytes().to_vec(), vec![]),
    a_small_message_of_much => (reply_that_decompresses_to_much(), vec![]),
}
