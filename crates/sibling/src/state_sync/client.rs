//! The side that asks a sibling for a newer state.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use endivevale_core::{
    distribution::store_contact::{ContactReport, STORE_OUTAGE_THRESHOLD},
    distribution::{Announcement, ContentDigest, ListingVersions},
    intent::{ConfigVersion, Configuration, InForce},
    layout::Listing,
    quarantine::CrashEntryReport,
};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use super::{
    EXCHANGE_TIMEOUT, ExchangeError, MAX_LISTING_BYTES, MAX_TEXT_BYTES, REPLY_WAIT, compression,
    framing,
};
use crate::{
    transfer_counters::TransferCounters,
    wire::{self, ConfigTransfer, MAX_MESSAGE_BYTES, StateReply, StateRequest, WireError},
};

/// Timeout for opening a connection. Siblings are in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The time within which a reply must begin.
const FIRST_BYTES_TIMEOUT: Duration = REPLY_WAIT.saturating_add(Duration::from_millis(300));

/// The longest exchange whose report of the contact with the store is used, since
/// the report gives times relative to its sending.
const MAX_REPORT_AGE: Duration = STORE_OUTAGE_THRESHOLD;

/// What the requesting instance has, and what it was told of.
#[derive(Debug, Clone, Default)]
pub struct KnownState {
    /// The configuration in force.
    pub config: Option<Arc<Configuration<InForce>>>,
    /// The versions of the listing.
    pub listing: ListingVersions,
    /// What the instance was told of; `None` if it asks for anything newer.
    pub announced: Option<Announcement>,
}

impl KnownState {
    /// Returns the version of the configuration in force.
    #[must_use]
    pub fn config_version(&self) -> ConfigVersion {
        self.config.as_ref().map_or(ConfigVersion::NONE, |config| config.version())
    }

    fn to_request(&self) -> StateRequest {
        StateRequest {
            config: self.config_version(),
            config_digest: self.config.as_ref().map_or(ContentDigest::NONE, |c| c.digest()),
            listing: self.listing,
            announced: self.announced,
        }
    }

    /// Returns the text of the configuration in force, to which a change
    /// applies.
    fn base_text(&self) -> &str {
        self.config.as_ref().map_or("", |config| config.text())
    }
}

/// The newer state of a sibling. A field is `None` if the sibling has no higher
/// version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FetchedState {
    /// The configuration, as its version and text.
    pub config: Option<(ConfigVersion, String)>,
    /// The listing.
    pub listing: Option<Listing>,
    /// What the sibling knows of the store's replies.
    pub store_contact: ContactReport,
    /// What the sibling knows of requests that crash searchers.
    pub suspects: Vec<CrashEntryReport>,
    /// The size of the reply, in bytes.
    pub reply_bytes: usize,
}

impl FetchedState {
    /// Returns whether the sibling had nothing newer.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.config.is_none() && self.listing.is_none()
    }
}

/// Fetches the configuration and the listing of a sibling, each only if its
/// version is higher than the one in `known`, and counts the transfer.
///
/// # Errors
///
/// Returns an [`ExchangeError`] if the connection fails, the reply makes no
/// progress or is invalid, or a change leads to another text than it names.
pub async fn fetch_state(
    addr: SocketAddr,
    known: &KnownState,
    counters: &TransferCounters,
) -> Result<FetchedState, ExchangeError> {
    let started = Instant::now();
    let req = known.to_request();
    let reply = timeout(EXCHANGE_TIMEOUT, exchange(addr, &req)).await;
    let reply = reply.unwrap_or(Err(ExchangeError::TimedOut));
    let fetched = reply.and_then(|(reply, bytes)| decode(reply, bytes, known));
    let fetched = fetched.map(|fetched| match started.elapsed() > MAX_REPORT_AGE {
        true => FetchedState { store_contact: ContactReport::default(), ..fetched },
        false => fetched,
    });
    match &fetched {
        Ok(fetched) if !fetched.is_empty() => counters.fetched.inc(),
        _ => counters.not_fetched.inc(),
    }
    if let Ok(fetched) = &fetched {
        counters.received_bytes.add(fetched.reply_bytes as u64);
    }
    fetched
}

/// Returns whether an instance accepts connections at its address for siblings.
pub async fn is_reachable(addr: SocketAddr) -> bool {
    matches!(timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await, Ok(Ok(_)))
}

/// Sends a request. Returns the reply and its size in bytes.
async fn exchange(
    addr: SocketAddr,
    req: &StateRequest,
) -> Result<(StateReply, usize), ExchangeError> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
    endivevale_socket::set_tcp_options(&stream);
    framing::write_message(&mut stream, &wire::encode_state_request(req)?).await?;
    let reply =
        framing::read_progressing_message(&mut stream, MAX_MESSAGE_BYTES, FIRST_BYTES_TIMEOUT)
            .await?;
    Ok((wire::decode_state_reply(&reply)?, reply.len()))
}

fn decode(
    reply: StateReply,
    reply_bytes: usize,
    known: &KnownState,
) -> Result<FetchedState, ExchangeError> {
    let config = reply.config.map(|transfer| decode_config(&transfer, known)).transpose()?;
    let listing = reply.listing.map(|bytes| decode_listing(&bytes)).transpose()?;
    let (store_contact, suspects) = (reply.store_contact, reply.suspects);
    Ok(FetchedState { config, listing, store_contact, suspects, reply_bytes })
}

fn decode_config(
    transfer: &ConfigTransfer,
    known: &KnownState,
) -> Result<(ConfigVersion, String), WireError> {
    let base = if transfer.is_change { known.base_text() } else { "" };
    let text = compression::decompress(&transfer.bytes, base.as_bytes(), MAX_TEXT_BYTES)?;
    let text = String::from_utf8(text).map_err(|_| WireError::Malformed)?;
    if ContentDigest::of(&text) != transfer.digest {
        return Err(WireError::Malformed);
    }
    Ok((transfer.version, text))
}

fn decode_listing(bytes: &[u8]) -> Result<Listing, WireError> {
    let bytes = compression::decompress(bytes, &[], MAX_LISTING_BYTES)?;
    wire::decode_listing(&bytes)
}
