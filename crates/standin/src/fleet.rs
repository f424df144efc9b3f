//! A deployment together with node processes, as tests and proofs use it.
//!
//! # Example
//!
//! ```no_run
//! # async fn run() -> std::io::Result<()> {
//! use std::path::Path;
//! use endivevale_standin::{fleet::Fleet, sizes::Site};
//!
//! let site = Site::Sfax;
//! let specs = site.services().iter().flat_map(|s| s.specs(site.zones(), 1)).collect();
//! let fleet = Fleet::start(Path::new("target/release/endivevale"), specs, site.intent(), 3).await?;
//! println!("{:?}", fleet.callers());
//! # Ok(())
//! # }
//! ```

use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use crate::{
    deployment::Deployment,
    process::{NodeProcess, NodeSpec},
    searcher::SearcherSpec,
};

/// How long nodes may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The zones that nodes are spread over.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// A deployment and node processes.
#[derive(Debug)]
pub struct Fleet {
    /// The platform and the searchers.
    pub deployment: Deployment,
    /// The nodes.
    pub nodes: Vec<NodeProcess>,
    binary: PathBuf,
    started: usize,
}

impl Fleet {
    /// Starts stand-ins, applies the intent, starts nodes and waits until
    /// all are ready.
    ///
    /// # Errors
    ///
    /// The system's error, or one that says which part did not start.
    pub async fn start(
        binary: &Path,
        specs: Vec<SearcherSpec>,
        intent: &str,
        nodes: usize,
    ) -> io::Result<Self> {
        let deployment = Deployment::start(specs).await?;
        deployment.apply(intent).await.map_err(|e| io::Error::other(format!("{e:?}")))?;
        let mut fleet =
            Self { deployment, nodes: Vec::new(), binary: binary.to_owned(), started: 0 };
        for _ in 0..nodes {
            fleet.add_node().await?;
        }
        fleet.ready().await?;
        Ok(fleet)
    }

    /// What the next node is told.
    #[must_use]
    pub fn next_spec(&self) -> NodeSpec {
        let name = format!("entry-{}", self.started);
        let zone = ZONES[self.started % ZONES.len()];
        NodeSpec::new(&name, zone, &self.deployment.platform.url())
    }

    /// Starts one more node and lists it.
    ///
    /// # Errors
    ///
    /// The system's error.
    pub async fn add_node(&mut self) -> io::Result<()> {
        let spec = self.next_spec();
        self.add_node_as(spec).await
    }

    /// Starts one more node as told and lists it.
    ///
    /// # Errors
    ///
    /// The system's error.
    pub async fn add_node_as(&mut self, spec: NodeSpec) -> io::Result<()> {
        let node = NodeProcess::start(&self.binary, &spec).await?;
        self.deployment.list_instance(node.record().clone());
        self.nodes.push(node);
        self.started += 1;
        Ok(())
    }

    /// Waits until every node is ready.
    ///
    /// # Errors
    ///
    /// An error when one is not ready in time.
    pub async fn ready(&self) -> io::Result<()> {
        for node in &self.nodes {
            node.ready(READY_TIMEOUT).await?;
        }
        Ok(())
    }

    /// Where the nodes take requests.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(NodeProcess::caller).collect()
    }

    /// The configuration that each node has in force; 0 where it could not
    /// be asked.
    pub async fn config_versions(&self) -> Vec<u64> {
        let asked = self.nodes.iter().map(|node| async {
            let status = node.status().await.unwrap_or_default();
            status["config_version"].as_u64().unwrap_or(0)
        });
        futures::future::join_all(asked).await
    }
}
