//! What the drivers of the review's scripts share: instance processes that are
//! started as the deploy file says, and the record of a run.

pub mod paged_store;

use std::{
    fs,
    future::Future,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use endivevale_platform_standin::searcher::Searcher;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    process::{Child, Command},
    signal::unix::{SignalKind, signal},
    time::{Instant, sleep, timeout},
};

/// The exit code of a run in which the rule held.
pub const HELD: u8 = 0;

/// The exit code of a run in which the rule was broken.
pub const BROKEN: u8 = 1;

/// The exit code of a run that could not be carried out.
pub const NOT_RUN: u8 = 2;

/// `grace-s` of the site.
pub const GRACE: Duration = Duration::from_secs(6);

/// The program of the deploy file.
const PROGRAM: &str = "target/release/endivevale";

/// How long an instance may take to print its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause between two requests for the readiness of an instance.
const READY_POLL: Duration = Duration::from_millis(50);

/// The lines of `record.txt`, each with the time since the start of the run.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    lines: String,
    path: PathBuf,
}

impl Record {
    /// Starts a record that is written to `path`.
    #[must_use]
    pub fn new(path: PathBuf) -> Self {
        Self { started: Instant::now(), lines: String::new(), path }
    }

    /// Adds a line, which is also printed.
    pub fn add(&mut self, line: &str) {
        self.add_at(Instant::now(), line);
        println!("{line}");
    }

    /// Adds a line for an event at another time, without printing it.
    pub fn add_at(&mut self, at: Instant, line: &str) {
        let secs = at.saturating_duration_since(self.started).as_secs_f64();
        self.lines.push_str(&format!("{secs:8.3} {line}\n"));
    }

    /// Writes the file.
    ///
    /// # Errors
    ///
    /// The error of the file system.
    pub fn write(&self) -> io::Result<()> {
        fs::write(&self.path, &self.lines)
    }
}

/// A machine of the tier: an instance process of its own.
#[derive(Debug)]
pub struct Machine {
    /// The name that the platform gave the machine.
    pub name: String,
    /// The address for clients.
    pub caller: SocketAddr,
    /// The address for readiness.
    pub admin: SocketAddr,
    /// The address for siblings, which stands in `seeds` of others.
    pub sibling: SocketAddr,
    child: Child,
}

/// The site whose settings the machines get.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    /// `budget-extra`.
    pub budget_extra: u32,
}

/// Starts machines in a repository.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// The root of the repository, in which programs start.
    pub root: PathBuf,
    /// The folder of the settings files.
    pub dir: PathBuf,
    /// The address of the store.
    pub store: SocketAddr,
    /// The site.
    pub site: Site,
}

impl Deployment {
    /// Starts a machine and waits until it prints its addresses.
    ///
    /// # Errors
    ///
    /// An error if the process does not start.
    pub async fn start(&self, name: &str, zone: &str, seeds: &[SocketAddr]) -> io::Result<Machine> {
        let path = self.dir.join(format!("{name}.yaml"));
        fs::write(&path, self.settings(name, zone, seeds))?;
        let mut child = Command::new(self.root.join(PROGRAM))
            .current_dir(&self.root)
            .env_clear()
            .env("ENDIVEVALE_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(stdout).lines();
        let mut log = fs::File::create(self.dir.join(format!("{name}.log")))?;
        let read_addresses = async {
            while let Some(line) = lines.next_line().await? {
                if let Ok(addresses) = serde_json::from_str::<serde_json::Value>(&line) {
                    return Ok(addresses);
                }
            }
            Err(io::Error::from(io::ErrorKind::UnexpectedEof))
        };
        let addresses = timeout(START_TIMEOUT, read_addresses).await??;
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                drop(io::Write::write_all(&mut log, format!("{line}\n").as_bytes()));
            }
        });
        let address = |field: &str| {
            let text = addresses[field].as_str().unwrap_or_default();
            text.parse().map_err(io::Error::other)
        };
        Ok(Machine {
            name: name.to_owned(),
            caller: address("caller")?,
            admin: address("admin")?,
            sibling: address("sibling")?,
            child,
        })
    }

    /// The template of the deploy file, filled in.
    fn settings(&self, name: &str, zone: &str, seeds: &[SocketAddr]) -> String {
        let seeds: Vec<String> = seeds.iter().map(|addr| format!("'{addr}'")).collect();
        format!(
            "name: '{name}'\n\
             zone: '{zone}'\n\
             listen: {{caller: '127.0.0.1:0', admin: '127.0.0.1:0', sibling: '127.0.0.1:0'}}\n\
             platform: 'http://{}'\n\
             seeds: [{}]\n\
             stop: {{settle: 2300ms}}\n\
             threads: 2\n\
             forwarding:\n  \
               answer_margin: 14ms\n  \
               extra_attempts: 0.2\n  \
               extra_allowance: {}\n  \
               extra_window: '10s'\n  \
               grace: '{}s'\n  \
               relay: '127.0.0.1:0'\n",
            self.store,
            seeds.join(","),
            self.site.budget_extra,
            GRACE.as_secs(),
        )
    }
}

impl Machine {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.id() {
            // The process may have ended by itself.
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Stops the process with SIGSTOP.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Continues a stopped process.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits for the end of the process, and kills it after `grace-s`.
    pub async fn wait_for_end(mut self) {
        if timeout(GRACE, self.child.wait()).await.is_err() {
            drop(self.child.kill().await);
        }
    }

    /// Kills the process and waits for its end.
    pub async fn kill(mut self) {
        drop(self.child.kill().await);
    }

    /// Waits until the machine reports itself ready.
    ///
    /// # Errors
    ///
    /// A time-out error if it does not within the time.
    pub async fn wait_until_ready(&self, limit: Duration) -> io::Result<()> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if get_status(self.admin, "/readyz").await == Some(200) {
                return Ok(());
            }
            sleep(READY_POLL).await;
        }
        Err(io::ErrorKind::TimedOut.into())
    }
}

/// Sends a `GET` request on a new connection. Returns the status.
async fn get_status(addr: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let req = format!("GET {path} HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n");
    stream.write_all(req.as_bytes()).await.ok()?;
    let mut res = String::new();
    stream.read_to_string(&mut res).await.ok()?;
    res.split(' ').nth(1)?.parse().ok()
}

/// Returns whether the run has its disruption: unless `TROUBLE` is `0`.
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The arguments of a driver: the root of the repository and the folder of the
/// case. Returns them with a new temporary folder.
///
/// # Errors
///
/// An error if an argument is missing or the folder cannot be made.
pub fn folders() -> io::Result<(PathBuf, PathBuf, PathBuf)> {
    let mut args = std::env::args().skip(1);
    let mut next = || args.next().map(PathBuf::from).ok_or(io::ErrorKind::InvalidInput);
    let (root, case) = (next()?, next()?);
    let name = format!("endivevale-review-{}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    fs::create_dir_all(&dir)?;
    Ok((root, case, dir))
}

/// Runs a driver: writes the record, removes the temporary folder and returns the
/// exit code for the number of breaks.
pub async fn drive<F, R>(run: F) -> std::process::ExitCode
where
    F: FnOnce(Record, PathBuf, PathBuf) -> R,
    R: Future<Output = (Record, io::Result<usize>)>,
{
    let Ok((root, case, dir)) = folders() else { return std::process::ExitCode::from(NOT_RUN) };
    let record = Record::new(case.join("record.txt"));
    let (mut record, result) = tokio::select! {
        finished = run(record, root, dir.clone()) => finished,
        // Dropping the run ends the processes that it has started.
        () = end_requested() => {
            remove_folder(&dir);
            return std::process::ExitCode::from(NOT_RUN);
        }
    };
    let code = match result {
        Ok(0) => HELD,
        Ok(_) => BROKEN,
        Err(e) => {
            record.add(&format!("the case could not run: {e}"));
            NOT_RUN
        }
    };
    drop(record.write());
    remove_folder(&dir);
    std::process::ExitCode::from(code)
}

/// Adds the requests that the searchers ran.
pub fn record_executions(record: &mut Record, searchers: &[Searcher]) {
    for searcher in searchers {
        for execution in searcher.executions() {
            let name = &searcher.spec().name;
            record.add_at(execution.started_at, &format!("{name} ran {}", execution.id));
        }
    }
}

/// Waits for SIGTERM or SIGINT.
async fn end_requested() {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    match (terminate, interrupt) {
        (Ok(mut terminate), Ok(mut interrupt)) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        }
        _ => std::future::pending().await,
    }
}

/// Removes a temporary folder.
pub fn remove_folder(dir: &Path) {
    // What is left there disturbs nobody.
    let _ = fs::remove_dir_all(dir);
}
