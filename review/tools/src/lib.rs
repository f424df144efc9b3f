//! Stand-ins for the cases: an instance process started as the deploy file
//! says, a searcher on a plain socket, callers, and the record of a run.

pub mod searcher;

use std::{
    collections::HashMap,
    fs,
    io::Write as _,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    process::{Child, Command},
    time::{Instant, sleep, timeout},
};

/// The host of every route.
pub const HOST: &str = "query.example";

/// Exit codes of a case.
pub const HELD: u8 = 0;
/// The rule was broken.
pub const BROKEN: u8 = 1;
/// The case could not run.
pub const NOT_RUN: u8 = 2;

/// Locks a mutex, also after a panic of another holder.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the disruption is to take place: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run, a file of one line for each event.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    started_at: Instant,
}

impl Record {
    /// Creates the file `path`.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(fs::File::create(path)?)), started_at: Instant::now() })
    }

    /// Writes one line, preceded by the seconds since the start.
    pub fn line(&self, text: &str) {
        let secs = self.started_at.elapsed().as_secs_f64();
        if let Err(e) = writeln!(lock(&self.file), "{secs:9.3} {text}") {
            eprintln!("the record cannot be written: {e}");
        }
    }

    /// Writes a line to the record and to standard output.
    pub fn announce(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// One HTTP/1.1 message: its first line, its headers with lower-case names, and
/// its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header's value; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages with a length from a connection.
#[derive(Debug)]
pub struct MessageReader {
    buf: Vec<u8>,
}

impl Default for MessageReader {
    fn default() -> Self {
        Self { buf: Vec::with_capacity(4096) }
    }
}

impl MessageReader {
    /// Reads the next message; `None` at the end of the connection.
    pub async fn read(&mut self, stream: &mut TcpStream) -> std::io::Result<Option<Message>> {
        loop {
            if let Some(message) = self.take() {
                return Ok(Some(message));
            }
            if stream.read_buf(&mut self.buf).await? == 0 {
                return Ok(None);
            }
        }
    }

    fn take(&mut self) -> Option<Message> {
        let end = self.buf.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers: HashMap<_, _> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let len: usize = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        if self.buf.len() < end + len {
            return None;
        }
        let body = self.buf[end..end + len].to_vec();
        self.buf.drain(..end + len);
        Some(Message { first_line, headers, body })
    }
}

/// An instance of the tier, started with the command of the deploy file.
#[derive(Debug)]
pub struct Instance {
    pub name: String,
    pub caller: SocketAddr,
    pub admin: SocketAddr,
    pub sibling: SocketAddr,
    child: Child,
}

/// What an instance is started with.
#[derive(Debug, Clone)]
pub struct InstanceSpec {
    pub name: String,
    pub zone: String,
    pub caller: SocketAddr,
    pub admin: SocketAddr,
    pub sibling: SocketAddr,
    pub relay: SocketAddr,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
}

/// Returns free addresses on the loopback interface.
pub async fn free_addrs(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(TcpListener::bind("127.0.0.1:0").await?);
    }
    listeners.iter().map(TcpListener::local_addr).collect()
}

impl Instance {
    /// Starts an instance with the settings of `deploy/settings.yaml`, filled in
    /// for a small deployment.
    pub async fn start(root: &Path, dir: &Path, spec: &InstanceSpec) -> std::io::Result<Self> {
        let seeds: Vec<String> = spec.seeds.iter().map(|addr| format!("'{addr}'")).collect();
        let text = format!(
            "name: '{}'\nzone: '{}'\nlisten:\n  caller: '{}'\n  admin: '{}'\n  sibling: '{}'\n\
             platform: 'http://{}'\nseeds: [{}]\nstop: {{settle: 2300ms}}\nthreads: 2\nforwarding:\n\
             \x20 answer_margin: 14ms\n  extra_attempts: 0.2\n  extra_allowance: 56\n\
             \x20 extra_window: '10s'\n  grace: '6s'\n  relay: '{}'\n",
            spec.name,
            spec.zone,
            spec.caller,
            spec.admin,
            spec.sibling,
            spec.store,
            seeds.join(", "),
            spec.relay,
        );
        let file = dir.join(format!("{}.yaml", spec.name));
        fs::write(&file, text)?;
        let log = fs::File::create(dir.join(format!("{}.log", spec.name)))?;
        let child = Command::new(root.join("target/release/endivevale"))
            .current_dir(root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("ENDIVEVALE_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let (name, caller) = (spec.name.clone(), spec.caller);
        Ok(Self { name, caller, admin: spec.admin, sibling: spec.sibling, child })
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.id()
            && let Err(e) = kill(Pid::from_raw(pid as i32), signal)
        {
            eprintln!("the signal to {} failed: {e}", self.name);
        }
    }

    /// Waits until the instance is ready.
    pub async fn wait_until_ready(&self, max_wait: Duration) -> bool {
        let until = Instant::now() + max_wait;
        while Instant::now() < until {
            let mut caller = Caller::new(self.admin);
            let reply = caller.send("GET", "/readyz", "ready", 1000, b"").await;
            if reply.is_ok_and(|reply| reply.status() == 200) {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

/// A caller that keeps its connection.
#[derive(Debug)]
pub struct Caller {
    addr: SocketAddr,
    connection: Option<(TcpStream, MessageReader)>,
}

impl Caller {
    /// Creates a caller of an instance.
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr, connection: None }
    }

    /// Sends one request and waits for its response.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        body: &[u8],
    ) -> std::io::Result<Message> {
        let (mut stream, mut reader) = match self.connection.take() {
            Some(connection) => connection,
            None => (TcpStream::connect(self.addr).await?, MessageReader::default()),
        };
        stream.set_nodelay(true)?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body].concat()).await?;
        let max_wait = Duration::from_millis(deadline_ms + 1000);
        let reply = timeout(max_wait, reader.read(&mut stream)).await;
        let reply = reply.map_err(|_| std::io::ErrorKind::TimedOut)??;
        let reply = reply.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        if !reply.header("connection").eq_ignore_ascii_case("close") {
            self.connection = Some((stream, reader));
        }
        Ok(reply)
    }
}

/// A folder for the files of a run, removed when it is dropped.
#[derive(Debug)]
pub struct TempDir(pub PathBuf);

impl TempDir {
    /// Creates an empty folder.
    pub fn create(name: &str) -> std::io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("endivevale-{name}-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        Ok(Self(dir))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if let Err(e) = fs::remove_dir_all(&self.0) {
            eprintln!("the folder {} was not removed: {e}", self.0.display());
        }
    }
}

/// Runs a case and returns its exit code. Ends it early, with the processes that
/// it started, on a signal to terminate or after 110 s.
pub async fn run_case(case: impl Future<Output = std::io::Result<u8>>) -> std::process::ExitCode {
    let terminated = async {
        match tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate()) {
            Ok(mut signal) => {
                signal.recv().await;
            }
            Err(_) => std::future::pending().await,
        }
    };
    let result = tokio::select! {
        result = case => result,
        () = terminated => Err(std::io::Error::other("terminated")),
        _ = tokio::signal::ctrl_c() => Err(std::io::Error::other("interrupted")),
        () = sleep(Duration::from_secs(110)) => Err(std::io::Error::other("timed out")),
    };
    std::process::ExitCode::from(result.unwrap_or_else(|e| {
        eprintln!("the case could not run: {e}");
        NOT_RUN
    }))
}
