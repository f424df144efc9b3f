//! The side that sends its state to siblings.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use endivevale_core::{
    distribution::register::{ConfigRegister, ListingRegister},
    distribution::store_contact::StoreContactCell,
    distribution::{Announcement, ContentDigest},
    intent::{Configuration, InForce},
    layout::Listing,
    quarantine::Quarantine,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::{Instant, sleep, timeout},
};

use super::{EXCHANGE_TIMEOUT, ExchangeError, PROGRESS_TIMEOUT, REPLY_WAIT, compression, framing};
use crate::{
    drop_counters::DropCounters,
    heartbeat::SiblingAddrs,
    transfer_counters::TransferCounters,
    wire::{self, ConfigTransfer, StateReply, StateRequest, WireError},
};

/// Maximum number of exchanges that are served concurrently.
const MAX_CONCURRENT_EXCHANGES: usize = 256;

/// Maximum number of replies that are written concurrently, so that each of
/// them gets through a slow link soon and can be passed on.
const MAX_CONCURRENT_REPLIES: usize = 8;

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum size of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 192;

/// Maximum number of requests that crash searchers in a reply, the latest.
const MAX_SUSPECTS: usize = 64;

/// Maximum number of bases for which the encoded current configuration is kept.
const MAX_CACHED_TRANSFERS: usize = 16;

/// The configuration and the listing that an instance serves to siblings.
#[derive(Debug, Clone)]
pub struct StateRegisters {
    /// The configuration in force.
    pub config: Arc<ConfigRegister>,
    /// The listing.
    pub listing: Arc<ListingRegister>,
    /// The contact with the store.
    pub store_contact: Arc<StoreContactCell>,
    /// The requests that crash searchers.
    pub quarantine: Arc<Quarantine>,
}

/// Serves the configuration and the listing to listed siblings.
#[derive(Debug)]
pub struct StateServer {
    registers: StateRegisters,
    siblings: Arc<SiblingAddrs>,
    drop_counters: Arc<DropCounters>,
    counters: Arc<TransferCounters>,
    /// Passes on what siblings say that they were told of, since this instance
    /// may not have been told.
    announcement_tx: mpsc::Sender<Announcement>,
    /// The current configuration as it is sent to those that have one of these
    /// texts. Invariant: all of one version.
    encoded: Mutex<Vec<(ContentDigest, Arc<ConfigTransfer>)>>,
    reply_permits: Semaphore,
}

impl StateServer {
    /// Creates a server. `announcement_tx` gets what siblings were told of.
    #[must_use]
    pub fn new(
        registers: StateRegisters,
        siblings: Arc<SiblingAddrs>,
        drop_counters: Arc<DropCounters>,
        counters: Arc<TransferCounters>,
        announcement_tx: mpsc::Sender<Announcement>,
    ) -> Self {
        Self {
            registers,
            siblings,
            drop_counters,
            counters,
            announcement_tx,
            encoded: Mutex::default(),
            reply_permits: Semaphore::new(MAX_CONCURRENT_REPLIES),
        }
    }

    /// Serves until the task is cancelled.
    ///
    /// Closes connections from other addresses, and connections over the limit
    /// of concurrent exchanges, without a reply. Counts transfers, dropped
    /// messages and connections from other addresses.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_EXCHANGES));
        loop {
            let (stream, peer_addr) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(e) => {
                    log::warn!(target: "sibling", "Could not accept a connection: {e}; retrying.");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if !self.siblings.is_listed_ip(&peer_addr) {
                self.drop_counters.record_drop(WireError::UnlistedSender);
                continue;
            }
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else { continue };
            let server = Arc::clone(&self);
            tokio::spawn(async move {
                server.serve_counted(stream, peer_addr).await;
                drop(permit);
            });
        }
    }

    async fn serve_counted(&self, stream: TcpStream, peer_addr: SocketAddr) {
        match timeout(EXCHANGE_TIMEOUT, self.serve_connection(stream)).await {
            Ok(Ok(sent_bytes)) => {
                self.counters.served.inc();
                self.counters.sent_bytes.add(sent_bytes);
            }
            Ok(Err(ExchangeError::Wire(reason))) => self.drop_counters.record_drop(reason),
            Ok(Err(e)) => {
                log::debug!(target: "sibling", "Transfer to {peer_addr} failed: {e}.");
            }
            Err(_) => log::info!(
                target: "sibling",
                "Transfer to {peer_addr} was ended by its timeout of {} ms.",
                EXCHANGE_TIMEOUT.as_millis()
            ),
        }
    }

    /// Reads one request and writes the reply. Returns the size of the reply in
    /// bytes.
    async fn serve_connection(&self, mut stream: TcpStream) -> Result<u64, ExchangeError> {
        endivevale_socket::set_tcp_options(&stream);
        let req =
            framing::read_progressing_message(&mut stream, MAX_REQUEST_BYTES, PROGRESS_TIMEOUT)
                .await?;
        let req = wire::decode_state_request(&req)?;
        if let Some(announced) = req.announced {
            self.pass_on(announced);
            // A reply after the wait has what there is by then.
            drop(timeout(REPLY_WAIT, self.wait_for(announced)).await);
        }
        // Fails only if the semaphore is closed, which never happens.
        let _permit = self.reply_permits.acquire().await;
        let message = self.encode_reply(&req)?;
        framing::write_message(&mut stream, &message).await?;
        Ok(message.len() as u64)
    }

    fn pass_on(&self, announced: Announcement) {
        if let Err(e) = self.announcement_tx.try_send(announced) {
            log::debug!(target: "sibling", "An announcement was not passed on: {e}.");
        }
    }

    async fn wait_for(&self, announced: Announcement) {
        self.registers.config.wait_for(announced.config).await;
        self.registers.listing.wait_for(announced.listing).await;
    }

    /// Encodes what is newer than the requesting instance has. Leaves the
    /// listing out if the reply is too large with it.
    fn encode_reply(&self, req: &StateRequest) -> Result<Vec<u8>, WireError> {
        let config = self.registers.config.current().filter(|c| c.version() > req.config);
        let listing = self
            .registers
            .listing
            .current()
            .filter(|l| l.versions().has_newer_part_than(req.listing));
        let config = config.map(|config| self.config_transfer(&config, req)).transpose()?;
        let config = config.map(|transfer| ConfigTransfer::clone(&transfer));
        let listing = listing.map(|listing| encode_listing(&listing)).transpose()?;
        let store_contact = self.registers.store_contact.load().report(Instant::now());
        let suspects = self.registers.quarantine.table().all_reports(MAX_SUSPECTS, Instant::now());
        let mut reply = StateReply { config, listing, store_contact, suspects };
        wire::encode_state_reply(&reply).or_else(|_| {
            reply.listing = None;
            wire::encode_state_reply(&reply)
        })
    }

    /// Returns the configuration as a change to the text of the requesting
    /// instance, or whole if that text is not known here.
    fn config_transfer(
        &self,
        config: &Configuration<InForce>,
        req: &StateRequest,
    ) -> Result<Arc<ConfigTransfer>, WireError> {
        let base = self.registers.config.recent_text(req.config_digest);
        let base_digest = base.as_ref().map_or(ContentDigest::NONE, |_| req.config_digest);
        let mut encoded = self.encoded.lock().unwrap_or_else(PoisonError::into_inner);
        encoded.retain(|(_, transfer)| transfer.version == config.version());
        if let Some((_, transfer)) = encoded.iter().find(|(digest, _)| *digest == base_digest) {
            return Ok(Arc::clone(transfer));
        }
        let base_text = base.as_deref().unwrap_or_default();
        let transfer = Arc::new(ConfigTransfer {
            version: config.version(),
            digest: config.digest(),
            is_change: base.is_some(),
            bytes: compression::compress(config.text().as_bytes(), base_text.as_bytes())?,
        });
        encoded.truncate(MAX_CACHED_TRANSFERS - 1);
        encoded.push((base_digest, Arc::clone(&transfer)));
        Ok(transfer)
    }
}

fn encode_listing(listing: &Listing) -> Result<Vec<u8>, WireError> {
    compression::compress(&wire::encode_listing(listing)?, &[])
}
