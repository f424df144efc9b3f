//! Starting and stopping an instance that forwards routed requests.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU32},
    time::Duration,
};

use endivevale_adapter::{
    config,
    directory::PlatformDirectory,
    request_handler::PlatformRequestHandler,
    transport::{ForwardedRequestCodec, PlatformTransport},
};
use endivevale_caller::forward_server::ForwardServer;
use endivevale_core::{
    distribution::register,
    forward::{Forwarder, RelayServer},
    layout::InstanceRecord,
    lifecycle::{InstanceLifecycle, StopDeadline},
    quarantine::Quarantine,
    view::ViewCell,
};
use endivevale_operator::{
    admin::{AdminState, AdminStateParams},
    metrics::MetricsExporter,
};
use endivevale_searcher::IdleConnections;
use endivevale_sibling::{
    heartbeat::SiblingAddrs,
    relay::{self, RelayPermits, TcpRelayClient},
    state_sync::{StateRegisters, StateServer},
    transfer_counters::TransferCounters,
};
use endivevale_store::StoreClient;
use tokio::{
    net::TcpListener,
    sync::{Notify, mpsc},
    time::{Instant, sleep, timeout},
};

use super::control::{ControlTask, ControlTaskParams};
use crate::{
    StartError,
    feeds::FeedSink,
    http_server,
    instance::{ANNOUNCEMENT_QUEUE_LEN, bind_sibling, sibling_counts},
    reload::CurrentSettings,
    running_instance::{Addresses, RunningInstance},
    settings::ForwardingSettings,
    shutdown::{LeaveRequest, Signals},
};

/// How long before the end of the grace period the process ends by itself,
/// even if connections are still open.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// How long before that the last answers are given, so that they are written
/// before the process ends.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Starts the instance; it serves as soon as it has a configuration and a
/// listing.
///
/// # Errors
///
/// A [`StartError`] if an address cannot be bound, an HTTP server does not
/// start, or the signal handlers cannot be installed.
pub async fn start(
    current_settings: CurrentSettings,
    forwarding: ForwardingSettings,
) -> Result<RunningInstance, StartError> {
    let settings = Arc::clone(&current_settings.borrow());
    let signals = Signals::listen().map_err(StartError::Signals)?;
    let (socket, listener) = bind_sibling(settings.listen.sibling).await?;
    let socket = Arc::new(socket);
    let limits = forwarding.extra_attempt_limits();
    let parse = move |text: &str| config::parse_config(text, limits).map_err(|e| e.to_string());
    let sink = FeedSink {
        config: Arc::new(register::ConfigRegister::new()),
        listing: Arc::new(register::ListingRegister::new()),
        changed: Arc::new(Notify::new()),
        parse: Arc::new(parse),
    };
    let lifecycle = InstanceLifecycle::starting();
    let phase = lifecycle.phase_handle();
    let views = Arc::new(ViewCell::default());
    let idle_connections = Arc::new(IdleConnections::new());

    let transport = Arc::new(PlatformTransport::new(Arc::clone(&idle_connections)));
    let forwarder = Forwarder::new(
        Arc::clone(&views),
        Arc::clone(&transport),
        TcpRelayClient::<ForwardedRequestCodec>::new(),
        settings.zone.clone(),
        forwarding.forward_settings(),
    );
    let stop_deadline = StopDeadline::default();
    let (quarantine, crash_rx) = Quarantine::with_reports();
    let forwarder = forwarder
        .with_stop_deadline(stop_deadline.clone())
        .with_quarantine(Arc::clone(&quarantine));
    let handler = Arc::new(PlatformRequestHandler::new(forwarder, Arc::clone(&views)));
    let forward_server = ForwardServer::listen(settings.listen.caller, handler, phase.clone())
        .await
        .map_err(|e| StartError::Http(e.to_string()))?;

    let transfer_counters = Arc::<TransferCounters>::default();
    let sibling_counts = sibling_counts(socket.drop_counters(), &transfer_counters);
    let exporter =
        MetricsExporter::new(Arc::clone(&views), Arc::clone(&sink.config), sibling_counts)
            .with_quarantine(Arc::clone(&quarantine));
    let leave_request = LeaveRequest { control: Arc::default(), admin: Arc::default() };
    let instances_seen = Arc::<AtomicU32>::default();
    let admin_state = AdminState::new(AdminStateParams {
        name: settings.name.clone(),
        view_cell: Arc::clone(&views),
        configs: Arc::clone(&sink.config),
        instances_seen: Arc::clone(&instances_seen),
        metrics: Arc::new(move || exporter.encode()),
        phase,
        leave_requested: Arc::clone(&leave_request.admin),
        quarantine: Arc::clone(&quarantine),
    });
    let admin_server = http_server::launch_admin(&settings.listen, admin_state.clone()).await?;

    let addresses = Addresses {
        caller: forward_server.addr(),
        admin: admin_server.addr,
        sibling: socket.local_addr().map_err(StartError::Sibling)?,
    };
    let registers = StateRegisters {
        config: Arc::clone(&sink.config),
        listing: Arc::clone(&sink.listing),
        store_contact: Arc::default(),
        quarantine: Arc::clone(&quarantine),
    };
    let store_contact = Arc::clone(&registers.store_contact);
    let relay_permits = RelayPermits::default();
    let relay = match forwarding.relay {
        Some(addr) => {
            let siblings = Arc::clone(socket.sibling_addrs());
            let relay_server =
                RelayServer::new(Arc::clone(&views), transport, settings.zone.clone())
                    .with_quarantine(Arc::clone(&quarantine));
            Some(serve_relay(addr, siblings, relay_server, relay_permits.clone()).await?)
        }
        None => None,
    };
    let (sibling_addrs, drop_counters) =
        (Arc::clone(socket.sibling_addrs()), Arc::clone(socket.drop_counters()));
    let (announcement_tx, announcement_rx) = mpsc::channel(ANNOUNCEMENT_QUEUE_LEN);
    let state_server = StateServer::new(
        registers,
        sibling_addrs,
        drop_counters,
        Arc::clone(&transfer_counters),
        announcement_tx,
    );
    tokio::spawn(Arc::new(state_server).serve(listener));
    let control = ControlTask::new(ControlTaskParams {
        own_record: InstanceRecord {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            sibling: addresses.sibling,
            caller: addresses.caller,
            admin: addresses.admin,
            relay,
        },
        settings: current_settings.clone(),
        registry: Arc::new(PlatformDirectory::new(StoreClient::new(&settings.platform))),
        sink,
        views,
        idle_connections,
        instances_seen,
        store_contact,
        lifecycle,
        socket,
        transfer_counters,
        announcement_rx,
        quarantine,
        crash_rx,
    });
    tokio::spawn(control.run(Arc::clone(&leave_request.control)));
    let leave_notify = Arc::clone(&leave_request.admin);
    let stop_task = tokio::spawn(stop(
        current_settings,
        forwarding.grace,
        stop_deadline,
        leave_request,
        signals,
        forward_server,
        relay_permits,
    ));
    http_server::launch_metrics(&settings.listen, admin_state).await;
    Ok(RunningInstance::new(addresses, leave_notify, stop_task))
}

/// Serves relayed requests of siblings at this address. Returns the address
/// that was bound.
async fn serve_relay(
    addr: SocketAddr,
    siblings: Arc<SiblingAddrs>,
    relay_server: RelayServer<PlatformTransport>,
    permits: RelayPermits,
) -> Result<SocketAddr, StartError> {
    let listener = TcpListener::bind(addr).await.map_err(StartError::Sibling)?;
    let addr = listener.local_addr().map_err(StartError::Sibling)?;
    let relay_server = Arc::new(relay_server);
    tokio::spawn(relay::serve_relay_requests::<ForwardedRequestCodec, _>(
        listener,
        siblings,
        relay_server,
        permits,
    ));
    Ok(addr)
}

/// Waits for a signal or a leave request and then carries out the planned
/// stop: reports not ready for the settle time, stops accepting requests, and
/// waits for open connections to end. The process is killed from outside when
/// the grace period ends; `grace` is that period if the current settings have
/// none. Requests that siblings have relayed to this instance are served to the end.
async fn stop(
    current_settings: CurrentSettings,
    grace: Duration,
    stop_deadline: StopDeadline,
    leave_request: LeaveRequest,
    mut signals: Signals,
    forward_server: ForwardServer,
    relay_permits: RelayPermits,
) {
    tokio::select! {
        () = signals.next() => log::info!(
            target: "node",
            "Received a signal to leave; starting the planned stop."
        ),
        () = leave_request.admin.notified() => log::info!(
            target: "node",
            "Received a leave request from an operator; starting the planned stop."
        ),
    }
    leave_request.control.notify_one();
    let settings = Arc::clone(&current_settings.borrow());
    let grace = settings.forwarding.map_or(grace, |forwarding| forwarding.grace);
    if !stop_deadline.set(Instant::now() + grace.saturating_sub(EXIT_MARGIN + ANSWER_MARGIN)) {
        log::debug!(target: "node", "The deadline of the planned stop was set before.");
    }
    sleep(settings.stop.settle).await;
    log::info!(
        target: "node",
        "No longer accepting requests; waiting for open connections to end."
    );
    forward_server.close();
    let drain_time = grace.saturating_sub(settings.stop.settle + EXIT_MARGIN);
    let drained = async {
        forward_server.wait_closed().await;
        relay_permits.drain().await;
    };
    if timeout(drain_time, drained).await.is_err() {
        let open = forward_server.open_connections().count();
        log::warn!(
            target: "node",
            "The grace period ends with {open} connections open; the process ends now."
        );
    }
    log::info!(target: "node", "The planned stop is complete.");
}
