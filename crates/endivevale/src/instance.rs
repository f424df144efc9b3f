//! Starting an instance: binding, wiring and the tasks.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use endivevale_caller::{Front, server};
use endivevale_core::{engine::Engine, node::Node, register};
use endivevale_operator::{admin, metrics::Exporter, status::InstanceStatus};
use endivevale_platform::{Platform, claims::PlatformClaims};
use endivevale_searcher::{HttpTransport, upkeep};
use endivevale_sibling::{
    exchange::{self, Registers},
    heartbeat::HeartbeatSocket,
};
use tokio::{net::TcpListener, sync::Notify, task::JoinHandle};

use crate::{
    control::{Control, Published},
    feeds::{self, Sink},
    listen,
    settings::Settings,
    stop::{self, LeaveWish, Signals},
};

/// How often a free port is drawn that is free for both UDP and TCP.
const BIND_TRIES: u32 = 16;

/// Why an instance could not start.
#[derive(Debug)]
pub enum StartError {
    /// The siblings' address could not be bound.
    Sibling(std::io::Error),
    /// An HTTP server could not start.
    Http(String),
    /// Signals could not be listened for.
    Signals(std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Sibling(e) => write!(f, "listen.sibling: {e}"),
            StartError::Http(e) => write!(f, "an HTTP server did not start: {e}"),
            StartError::Signals(e) => write!(f, "signals: {e}"),
        }
    }
}

impl std::error::Error for StartError {}

/// Where an instance listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For siblings.
    pub sibling: SocketAddr,
}

impl Addresses {
    /// The addresses as one line of JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// An instance that runs.
#[derive(Debug)]
pub struct Instance {
    addresses: Addresses,
    leave: Arc<Notify>,
    stopped: JoinHandle<()>,
}

impl Instance {
    /// Starts an instance; it serves as soon as it has a configuration.
    ///
    /// # Errors
    ///
    /// A [`StartError`] when an address cannot be had.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let signals = Signals::listen().map_err(StartError::Signals)?;
        let (socket, listener) = bind_sibling(settings.listen.sibling).await?;
        let platform = Arc::new(Platform::new(&settings.platform));
        let sink = Sink {
            config: Arc::new(register::ConfigRegister::new()),
            listing: Arc::new(register::ListingRegister::new()),
            changed: Arc::new(Notify::new()),
        };
        let node = Node::starting();
        let phase = node.phase_handle();
        let socket = Arc::new(socket);
        let (control, published) = Control::new(
            settings.name.clone(),
            settings.seeds.clone(),
            node,
            sink.clone(),
            Arc::clone(&socket),
        );

        let transport = Arc::new(HttpTransport::new());
        let engine = Engine::new(
            Arc::clone(&published.views),
            settings.zone.clone(),
            settings.policy,
            Arc::clone(&transport),
            PlatformClaims::new(Arc::clone(&platform)),
        );
        let drops = Arc::clone(socket.drops());
        let drop_counts = Arc::new(move || drops.counts());
        let exporter = Exporter::new(Arc::clone(&published.views), drop_counts);
        let metrics: Arc<dyn Fn() -> String + Send + Sync> = Arc::new(move || exporter.encode());
        let front = Front::new(Arc::new(engine), phase.clone(), Arc::clone(&metrics));
        let in_flight = Arc::clone(front.in_flight());
        let caller = listen::launch(server::build(settings.listen.caller, front)).await?;

        let wish = LeaveWish { control: Arc::default(), admin: Arc::default() };
        let state = admin::AdminState::new(
            status_of(&settings, published.clone(), phase),
            metrics,
            Arc::clone(&wish.admin),
        );
        let admin_rocket = admin::build(server::config(settings.listen.admin), state);
        let admin = listen::launch(admin_rocket).await?;

        let addresses = Addresses {
            caller: caller.addr,
            admin: admin.addr,
            sibling: socket.local_addr().map_err(StartError::Sibling)?,
        };
        let registers =
            Registers { config: Arc::clone(&sink.config), listing: Arc::clone(&sink.listing) };
        let (siblings, drops) = (Arc::clone(socket.siblings()), Arc::clone(socket.drops()));
        tokio::spawn(exchange::serve(listener, registers, siblings, drops));
        tokio::spawn(feeds::follow_list(Arc::clone(&platform), sink.clone()));
        tokio::spawn(feeds::follow_config(platform, sink, published.duty.clone()));
        tokio::spawn(upkeep::run(transport, published.views));
        tokio::spawn(control.run(Arc::clone(&wish.control)));
        let leave = Arc::clone(&wish.admin);
        let stopped =
            tokio::spawn(stop::run(wish, signals, settings.stop.settle, caller, in_flight));
        Ok(Self { addresses, leave, stopped })
    }

    /// Where the instance listens.
    #[must_use]
    pub const fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Begins the planned stop.
    pub fn leave(&self) {
        self.leave.notify_one();
    }

    /// Waits until the planned stop is complete.
    pub async fn stopped(self) {
        if let Err(e) = self.stopped.await {
            log::error!(target: "node", "The stop failed: {e}.");
        }
    }
}

type StatusFn = Arc<dyn Fn() -> InstanceStatus + Send + Sync>;

fn status_of(
    settings: &Settings,
    published: Published,
    phase: endivevale_core::node::PhaseHandle,
) -> StatusFn {
    let name = settings.name.clone();
    Arc::new(move || {
        let seen = published.instances_seen.load(Ordering::Relaxed);
        InstanceStatus::collect(name.as_str(), phase.get(), &published.views.load(), seen)
    })
}

/// Binds UDP and TCP at one port. Port 0 draws until both are free.
async fn bind_sibling(addr: SocketAddr) -> Result<(HeartbeatSocket, TcpListener), StartError> {
    let mut last = None;
    for _ in 0..BIND_TRIES {
        let listener = TcpListener::bind(addr).await.map_err(StartError::Sibling)?;
        let bound = listener.local_addr().map_err(StartError::Sibling)?;
        match HeartbeatSocket::bind(bound).await {
            Ok(socket) => return Ok((socket, listener)),
            Err(e) => last = Some(e),
        }
        if addr.port() != 0 {
            break;
        }
    }
    Err(StartError::Sibling(last.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into())))
}
