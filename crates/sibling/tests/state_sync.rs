//! Transfers of configurations and listings between siblings over loopback.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use endivevale_cases::cases;
use endivevale_core::{
    distribution::register::{ConfigRegister, ListingRegister},
    distribution::{Announcement, ContentDigest, ListingVersions, StoreRevision},
    intent::{
        Accepted, CallerLimits, ConfigVersion, Configuration, Intent, OptimizationGoal, Rank,
    },
    layout::Listing,
};
use endivevale_sibling::{
    drop_counters::DropCounters,
    heartbeat::SiblingAddrs,
    state_sync::{self, ExchangeError, FetchedState, KnownState, StateRegisters, StateServer},
    transfer_counters::TransferCounters,
    wire::{self, ConfigTransfer, StateReply, WireError},
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpListener,
    sync::mpsc,
    time::{Instant, sleep},
};

/// The number of lines of a text.
const LINE_COUNT: u64 = 2_000;

/// The text of a version: long, and one line differs from that of another
/// version.
fn text(version: u64) -> String {
    let line = |n: u64| format!("route-{n}: {:x}\n", n.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    (0..LINE_COUNT).map(line).chain([format!("version: {version}\n")]).collect()
}

fn configuration(version: u64) -> Configuration<Accepted> {
    let intent = Intent {
        deployment: Arc::from("sfax"),
        objective: OptimizationGoal::Tail,
        callers: Default::default(),
        default_rank: Rank::FIRST,
        services: Default::default(),
        routes: Default::default(),
        caller_limits: CallerLimits::default(),
    };
    let checked = Configuration::draft(text(version)).parse(|_| Ok::<_, ()>(intent)).unwrap();
    checked.accepted(ConfigVersion::new(version))
}

/// A sibling that serves these versions, in order.
struct Sibling {
    addr: SocketAddr,
    registers: StateRegisters,
    announcement_rx: mpsc::Receiver<Announcement>,
}

impl Sibling {
    async fn start(versions: &[u64]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let registers = StateRegisters {
            config: Arc::new(ConfigRegister::new()),
            listing: Arc::new(ListingRegister::new()),
            store_contact: Arc::default(),
            quarantine: Arc::default(),
        };
        for version in versions {
            registers.config.replace_if_newer(configuration(*version));
        }
        let siblings = Arc::new(SiblingAddrs::default());
        siblings.replace(HashSet::from([addr]));
        let (announcement_tx, announcement_rx) = mpsc::channel(4);
        let server = StateServer::new(
            registers.clone(),
            siblings,
            Arc::new(DropCounters::default()),
            Arc::default(),
            announcement_tx,
        );
        tokio::spawn(Arc::new(server).serve(listener));
        Self { addr, registers, announcement_rx }
    }

    async fn fetch(&self, known: &KnownState) -> FetchedState {
        state_sync::fetch_state(self.addr, known, &TransferCounters::default()).await.unwrap()
    }

    fn announcement(&self, version: u64) -> Announcement {
        Announcement {
            config: ConfigVersion::new(version),
            listing: ListingVersions::NONE,
            store_revision: Default::default(),
            source: self.addr,
        }
    }
}

/// What an instance knows that has this version in force.
fn known(version: u64) -> KnownState {
    let register = ConfigRegister::new();
    register.replace_if_newer(configuration(version));
    KnownState { config: register.current(), ..KnownState::default() }
}

cases! {
    fn a_newer_configuration_costs_what_has_changed(
        served: &[u64], held: Option<u64>, max_reply_bytes: usize
    ) {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let fetched = runtime.block_on(async {
            let sibling = Sibling::start(served).await;
            sibling.fetch(&held.map_or_else(KnownState::default, known)).await
        });
        let newest = *served.last().unwrap();
        assert_eq!(fetched.config, Some((ConfigVersion::new(newest), text(newest))));
        assert!(fetched.reply_bytes <= max_reply_bytes, "{} bytes", fetched.reply_bytes);
    }
    // A change of one line fits into one datagram.
    one_version_behind => (&[3, 4], Some(3), 512),
    several_versions_behind => (&[3, 4, 5, 6], Some(3), 512),
    // The text is compressed.
    without_a_configuration => (&[3, 4], None, 40_000),
    held_text_is_unknown_to_the_sibling => (&[4], Some(3), 40_000),
}

#[tokio::test]
async fn sibling_without_a_newer_configuration_sends_nothing() {
    let sibling = Sibling::start(&[4]).await;
    assert!(sibling.fetch(&known(4)).await.is_empty());
}

#[tokio::test]
async fn sibling_replies_as_soon_as_it_has_what_was_announced() {
    let mut sibling = Sibling::start(&[3]).await;
    let known = KnownState { announced: Some(sibling.announcement(4)), ..known(3) };
    let config = Arc::clone(&sibling.registers.config);
    tokio::spawn(async move {
        sleep(Duration::from_millis(100)).await;
        config.replace_if_newer(configuration(4));
    });
    let started = Instant::now();
    let fetched = sibling.fetch(&known).await;
    assert_eq!(fetched.config.unwrap().0, ConfigVersion::new(4));
    assert!(started.elapsed() < state_sync::REPLY_WAIT);
    assert_eq!(sibling.announcement_rx.recv().await, known.announced);
}

#[tokio::test]
async fn sibling_that_gets_nothing_newer_replies_after_the_wait() {
    let sibling = Sibling::start(&[3]).await;
    let known = KnownState { announced: Some(sibling.announcement(4)), ..known(3) };
    let started = Instant::now();
    assert!(sibling.fetch(&known).await.is_empty());
    assert!(started.elapsed() >= state_sync::REPLY_WAIT);
}

// Guards against a configuration that nobody wrote: a change that was applied
// to another text than it was made from.
#[tokio::test]
async fn configuration_with_another_digest_than_named_is_rejected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let transfer = ConfigTransfer {
        version: ConfigVersion::new(4),
        digest: ContentDigest::of(&text(5)),
        is_change: false,
        bytes: zstd::bulk::compress(text(4).as_bytes(), 1).unwrap(),
    };
    let reply = StateReply {
        config: Some(transfer),
        listing: None,
        store_contact: Default::default(),
        suspects: vec![],
    };
    let message = wire::encode_state_reply(&reply).unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.write_all(&(message.len() as u32).to_le_bytes()).await.unwrap();
        stream.write_all(&message).await.unwrap();
        sleep(Duration::from_secs(1)).await;
    });
    let counters = TransferCounters::default();
    let fetched = state_sync::fetch_state(addr, &KnownState::default(), &counters).await;
    assert!(matches!(fetched, Err(ExchangeError::Wire(WireError::Malformed))), "{fetched:?}");
    assert_eq!((counters.fetched.get(), counters.not_fetched.get()), (0, 1));
}

#[tokio::test]
async fn newer_listing_is_fetched_with_the_configuration() {
    let sibling = Sibling::start(&[3]).await;
    let listing = Listing { version: StoreRevision::new(1, 7), ..Listing::default() };
    sibling.registers.listing.replace_if_newer(listing.clone());
    let fetched = sibling.fetch(&KnownState::default()).await;
    assert_eq!(fetched.listing, Some(listing));
    assert!(fetched.config.is_some());
}
