//! A searcher on a plain socket. It registers itself in the store, runs
//! requests and can hand out additional bytes after a complete response.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use endivevale_platform_standin::store::{SEARCHER_KIND, Store};
use serde_json::json;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

use crate::{Message, MessageReader, Record, lock};

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub searcher: String,
    pub at: Instant,
}

/// What all connections of one searcher share.
#[derive(Debug)]
struct State {
    name: String,
    service: String,
    zone: String,
    service_time: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    stamps: AtomicU64,
    /// Additional bytes are sent once in this many responses; 0 for never.
    spoil_each: AtomicU64,
    responses: AtomicU64,
    /// Whether the process has ended.
    ended: tokio::sync::watch::Sender<bool>,
}

/// A searcher that listens on a loopback address until it is dropped.
#[derive(Debug)]
pub struct Searcher {
    addr: SocketAddr,
    born_ms: u64,
    state: Arc<State>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Searcher {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Searcher {
    /// Starts a searcher and registers it as ready.
    pub async fn start(
        store: &Store,
        (name, service, zone): (&str, &str, &str),
        service_time: Duration,
        runs: Arc<Mutex<Vec<Run>>>,
        record: Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let state = Arc::new(State {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            service_time,
            runs,
            record,
            stamps: AtomicU64::new(0),
            spoil_each: AtomicU64::new(0),
            responses: AtomicU64::new(0),
            ended: tokio::sync::watch::Sender::new(false),
        });
        let task = tokio::spawn(accept(listener, Arc::clone(&state)));
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let searcher = Self { addr, born_ms: now.as_millis() as u64, state, task };
        searcher.register(store, "ready");
        Ok(searcher)
    }

    /// Writes the searcher's entry with this state.
    pub fn register(&self, store: &Store, state: &str) {
        let entry = json!({
            "service": self.state.service, "address": self.addr, "zone": self.state.zone,
            "version": "v1", "max-concurrency": 3, "state": state, "warmup-left-ms": 0,
            "sequence": 1, "born": self.born_ms,
        });
        store.write(SEARCHER_KIND, &self.state.name, entry);
    }

    /// Ends the searcher: its port refuses connections and the open ones end.
    pub fn end(&self) {
        self.task.abort();
        self.state.ended.send_replace(true);
    }

    /// Removes the entry; the searcher continues to serve.
    pub fn unregister(&self, store: &Store) {
        store.remove(SEARCHER_KIND, &self.state.name);
    }

    /// Lets the searcher send additional bytes after one in `each` responses; 0
    /// ends that.
    pub fn spoil(&self, each: u64) {
        self.state.spoil_each.store(each, Ordering::SeqCst);
    }
}

async fn accept(listener: TcpListener, state: Arc<State>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let state = Arc::clone(&state);
            tokio::spawn(async move {
                let mut ended = state.ended.subscribe();
                tokio::select! {
                    // An error means that the instance has closed the connection.
                    served = serve(stream, &state) => drop(served),
                    _ = ended.wait_for(|ended| *ended) => {}
                }
            });
        }
    }
}

async fn serve(mut stream: TcpStream, state: &State) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = MessageReader::default();
    let mut owes_bytes = false;
    while let Some(req) = reader.read(&mut stream).await? {
        let id = req.header("x-request-id").to_owned();
        let expected = req.header("x-expected-instance");
        if !expected.is_empty() && expected != state.name {
            let reply = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: other\r\n\
                 X-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(reply.as_bytes()).await?;
            continue;
        }
        if std::mem::take(&mut owes_bytes) {
            // Bytes that belong to no request, late, where the next response is
            // expected.
            state.record.line(&format!("{} sends additional bytes before {id}", state.name));
            stream.write_all(ADDITIONAL_BYTES).await?;
        }
        run(&req, state).await;
        let stamp = format!("{}.{}", state.name, state.stamps.fetch_add(1, Ordering::SeqCst));
        let body = format!("{id:_<32}");
        let reply = format!(
            "HTTP/1.1 200 OK\r\nX-Server-Stamp: {stamp}\r\nX-Request-Id: {id}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(reply.as_bytes()).await?;
        let each = state.spoil_each.load(Ordering::SeqCst);
        let count = state.responses.fetch_add(1, Ordering::SeqCst) + 1;
        owes_bytes = each > 0 && count % each == 0;
    }
    Ok(())
}

/// The bytes that a faulty searcher sends after a complete response.
const ADDITIONAL_BYTES: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: full\r\nContent-Length: 0\r\n\r\n";

async fn run(req: &Message, state: &State) {
    let id = req.header("x-request-id").to_owned();
    state.record.line(&format!("{} runs {id} ({})", state.name, req.first_line));
    let run = Run { id, searcher: state.name.clone(), at: Instant::now() };
    lock(&state.runs).push(run);
    sleep(state.service_time).await;
}
