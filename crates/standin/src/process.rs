//! Node processes: started from the binary, listed, signalled and ended.
//!
//! # Example
//!
//! ```no_run
//! # async fn run() -> std::io::Result<()> {
//! use std::path::Path;
//! use endivevale_standin::process::{NodeProcess, NodeSpec};
//!
//! let spec = NodeSpec::new("entry-1", "a", "http://127.0.0.1:7000");
//! let node = NodeProcess::start(Path::new("target/release/endivevale"), &spec).await?;
//! node.freeze();
//! # Ok(())
//! # }
//! ```

use std::{io, net::SocketAddr, path::Path, process::Stdio, time::Duration};

use endivevale_core::{
    layout::InstanceRecord,
    name::{InstanceName, ZoneName},
};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde::Deserialize;
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    process::{Child, Command},
    time::{Instant, sleep, timeout},
};

/// How long a node may take to say where it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The pause between two looks at a node's readiness.
const READY_PAUSE: Duration = Duration::from_millis(20);

/// What a node process is told.
#[derive(Debug, Clone)]
pub struct NodeSpec {
    /// The node's name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where the platform is.
    pub platform: String,
    /// Siblings to ask while there is no list.
    pub seeds: Vec<SocketAddr>,
    /// How long a leaving node goes on accepting.
    pub settle: Duration,
    /// Logs at this level go to standard error.
    pub log_level: String,
}

impl NodeSpec {
    /// A node with no seeds, a short settle time and few logs.
    #[must_use]
    pub fn new(name: &str, zone: &str, platform: &str) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            platform: platform.to_owned(),
            seeds: Vec::new(),
            settle: Duration::from_millis(500),
            log_level: std::env::var("NODE_LOG").unwrap_or_else(|_| "error".to_owned()),
        }
    }

    fn to_yaml(&self) -> String {
        let json = serde_json::json!({
            "name": self.name,
            "zone": self.zone,
            "listen": {"caller": "127.0.0.1:0", "admin": "127.0.0.1:0", "sibling": "127.0.0.1:0"},
            "platform": self.platform,
            "seeds": self.seeds,
            "stop": {"settle": format!("{}ms", self.settle.as_millis())},
            "log": {"level": self.log_level},
        });
        // JSON is YAML.
        json.to_string()
    }
}

#[derive(Debug, Clone, Copy, Deserialize)]
struct Addresses {
    caller: SocketAddr,
    admin: SocketAddr,
    sibling: SocketAddr,
}

/// A node that runs in a process of its own; killed on drop.
#[derive(Debug)]
pub struct NodeProcess {
    record: InstanceRecord,
    child: Child,
    pid: Pid,
}

impl NodeProcess {
    /// Starts a node and waits until it says where it listens.
    ///
    /// # Errors
    ///
    /// The system's error, or one that says what the node did instead.
    pub async fn start(binary: &Path, spec: &NodeSpec) -> io::Result<Self> {
        // The settings go through standard input, so that no file is left.
        let mut child = Command::new(binary)
            .args(["--settings", "/dev/stdin"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let mut stdin = child.stdin.take().ok_or(io::ErrorKind::BrokenPipe)?;
        stdin.write_all(spec.to_yaml().as_bytes()).await?;
        drop(stdin);
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(stdout).lines();
        let line = timeout(START_TIMEOUT, lines.next_line()).await??.unwrap_or_default();
        let addresses: Addresses =
            serde_json::from_str(&line).map_err(|e| io::Error::other(format!("{line:?}: {e}")))?;
        let name = |e| io::Error::other(format!("{e:?}"));
        let record = InstanceRecord {
            name: InstanceName::try_new(&spec.name).map_err(name)?,
            zone: ZoneName::try_new(&spec.zone).map_err(name)?,
            sibling: addresses.sibling,
            caller: addresses.caller,
            admin: addresses.admin,
        };
        let pid = child.id().ok_or(io::ErrorKind::NotFound)?;
        Ok(Self { record, child, pid: Pid::from_raw(pid as i32) })
    }

    /// Its record for the platform's list.
    #[must_use]
    pub const fn record(&self) -> &InstanceRecord {
        &self.record
    }

    /// Where it takes requests.
    #[must_use]
    pub const fn caller(&self) -> SocketAddr {
        self.record.caller
    }

    /// The identifier of its process.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.pid.as_raw() as u32
    }

    fn signal(&self, signal: Signal) {
        // A process that has ended already needs no signal.
        let _ = kill(self.pid, signal);
    }

    /// Stops the process where it is.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Ends the process at once.
    pub async fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        drop(self.child.wait().await);
    }

    /// Waits for the process to end, and says whether it ended well.
    ///
    /// # Errors
    ///
    /// An error when it does not end within the time.
    pub async fn ended(&mut self, within: Duration) -> io::Result<bool> {
        Ok(timeout(within, self.child.wait()).await??.success())
    }

    /// The status of the node, as operators see it.
    pub async fn status(&self) -> Option<serde_json::Value> {
        let url = format!("http://{}/v1/status", self.record.admin);
        let res = crate::load::client().get(url).send().await.ok()?;
        res.json().await.ok()
    }

    /// Waits until the node is ready.
    ///
    /// # Errors
    ///
    /// An error when it is not ready within the time.
    pub async fn ready(&self, within: Duration) -> io::Result<()> {
        let client = crate::load::client();
        let url = format!("http://{}/readyz", self.caller());
        let by = Instant::now() + within;
        while Instant::now() < by {
            let res = client.get(&url).send().await;
            if res.is_ok_and(|r| r.status().is_success()) {
                return Ok(());
            }
            sleep(READY_PAUSE).await;
        }
        Err(io::ErrorKind::TimedOut.into())
    }
}
