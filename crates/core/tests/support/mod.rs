//! What the tests of this package share: a service on fake searchers.

#![allow(dead_code, reason = "each test file uses a part of this")]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use endivevale_core::{
    answer::{Answer, BodyKind, Part},
    claim::{ClaimKey, ClaimStore, Created, Found, RecordVersion},
    engine::{Engine, LegReply, LegRequest, LostReason, OpenError, Transport},
    error::Failure,
    gate::Permit,
    id::{AttemptId, Nonce, RequestId},
    intent::{
        ConfigVersion, Intent, Objective, Proposal, Rank, Routing, ServiceIntent, ServiceObjectives,
    },
    layout::{Holding, IndexVersion, SearcherRecord, SearcherState, ShardId},
    name::{CallerName, SearcherName, ServiceName, ZoneName},
    policy::Policy,
    query::Submission,
    register::ConfigRegister,
    searcher::{Searcher, SearcherNews},
    view::{View, ViewBuilder, ViewCell},
};
use tokio::time::{Instant, sleep, sleep_until};

pub const MS: Duration = Duration::from_millis(1);

pub fn service_name() -> ServiceName {
    ServiceName::try_new("stock").unwrap()
}

pub fn caller() -> CallerName {
    CallerName::try_new("desk").unwrap()
}

/// A service of which each test changes what it is about.
pub fn service_intent() -> ServiceIntent {
    ServiceIntent {
        name: service_name(),
        routing: Routing::Shards,
        repeatable: true,
        default_deadline: 200 * MS,
        max_deadline: 1000 * MS,
        max_body_bytes: 100,
        slots: 3,
        connections: 30,
        extra_attempts: 1.0,
        objectives: ServiceObjectives {
            latency: 95 * MS,
            in_time: 0.99,
            whole: 0.999,
            refused: 0.001,
            extra_load: 0.02,
        },
    }
}

pub fn intent(service: ServiceIntent) -> Intent {
    Intent {
        deployment: "test".into(),
        objective: Objective::Tail,
        callers: BTreeMap::from([(caller(), Rank::new(1))]),
        default_rank: Rank::new(3),
        services: BTreeMap::from([(service.name.clone(), Arc::new(service))]),
    }
}

/// A searcher that holds one shard of one generation.
pub fn record(name: &str, of: u16, shard: u16, versions: &[u64]) -> SearcherRecord {
    SearcherRecord {
        name: SearcherName::try_new(name).unwrap(),
        incarnation: 1,
        service: service_name(),
        zone: ZoneName::try_new("a").unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        state: SearcherState::Live,
        holdings: vec![Holding {
            generation: 1,
            of,
            shards: vec![ShardId::new(shard)],
            versions: versions.to_vec(),
        }],
    }
}

/// `shards` shards with `replicas` replicas each, named `s<shard>r<replica>`.
pub fn records(shards: u16, replicas: u16) -> Vec<SearcherRecord> {
    let name = |shard, replica| format!("s{shard}r{replica}");
    let all = (0..shards).flat_map(|s| (0..replicas).map(move |r| (s, r)));
    all.map(|(s, r)| record(&name(s, r), shards, s, &[1])).collect()
}

/// Puts an intent in force and builds a view of it.
pub fn view(builder: &mut ViewBuilder, intent: Intent, records: &[SearcherRecord]) -> View {
    let register = ConfigRegister::new();
    let checked = Proposal::draft("test").check(|_| Ok::<_, ()>(intent)).unwrap();
    register.adopt(checked.accepted(ConfigVersion::new(1)));
    builder.build(register.current(), records, 1)
}

/// What a fake searcher does with a sub-request.
#[derive(Debug, Clone)]
pub enum Act {
    /// A part of this version after this time.
    Part(Duration, IndexVersion),
    /// A refusal after this time.
    Refuse(Duration),
    /// It does not hold the version, and says which it holds.
    NotHeld(Vec<IndexVersion>),
    /// A refusal that echoes another attempt.
    RefuseOther,
    /// Runs, but the connection breaks after this time.
    Break(Duration),
    /// Runs, but nothing ever comes.
    Silent,
    /// No connection can be had.
    NoConnection,
}

type Script = Box<dyn Fn(&Searcher, Option<&LegRequest>) -> Act + Send + Sync>;

/// A transport that acts by a script and logs what was run.
pub struct FakeTransport {
    script: Script,
    /// The searcher and attempt of everything that was run.
    pub ran: Mutex<Vec<(String, AttemptId, IndexVersion)>>,
}

impl FakeTransport {
    pub fn new(
        script: impl Fn(&Searcher, Option<&LegRequest>) -> Act + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self { script: Box::new(script), ran: Mutex::default() })
    }

    pub fn ran_count(&self) -> usize {
        self.ran.lock().unwrap().len()
    }
}

pub struct FakeChannel {
    searcher: Arc<Searcher>,
    _permit: Permit,
}

impl Transport for FakeTransport {
    type Channel = FakeChannel;

    async fn open(
        &self,
        searcher: &Arc<Searcher>,
        permit: Permit,
        _: Instant,
    ) -> Result<FakeChannel, OpenError> {
        match (self.script)(searcher, None) {
            Act::NoConnection => Err(OpenError::Refused),
            _ => Ok(FakeChannel { searcher: Arc::clone(searcher), _permit: permit }),
        }
    }

    async fn send(&self, channel: FakeChannel, req: LegRequest) -> LegReply {
        let searcher = &channel.searcher;
        let act = (self.script)(searcher, Some(&req));
        if matches!(act, Act::Part(..) | Act::Break(_) | Act::Silent) {
            let entry = (searcher.name().to_string(), req.attempt, req.version);
            self.ran.lock().unwrap().push(entry);
        }
        match act {
            Act::Part(after, version) => {
                sleep(after).await;
                let body = Bytes::from(searcher.name().to_string());
                LegReply::Part(Part { shard: req.shard, version, kind: BodyKind::Opaque, body })
            }
            Act::Refuse(after) => {
                sleep(after).await;
                LegReply::Refused(req.attempt)
            }
            Act::NotHeld(held) => {
                searcher.observe(SearcherNews { held, leaving: false });
                LegReply::NotHeld(req.attempt)
            }
            Act::RefuseOther => LegReply::Refused(AttemptId::new(RequestId::from_raw(0), 0)),
            Act::Break(after) => {
                sleep(after).await;
                LegReply::Lost(LostReason::Broken)
            }
            Act::Silent => {
                sleep_until(Instant::now() + Duration::from_secs(3600)).await;
                LegReply::Lost(LostReason::TimedOut)
            }
            Act::NoConnection => LegReply::Lost(LostReason::Broken),
        }
    }
}

/// A store of claims whose replies can be lost.
#[derive(Debug, Default)]
pub struct FakeClaims {
    pub records: Mutex<std::collections::HashMap<ClaimKey, (Nonce, u64)>>,
    /// What goes wrong with the next calls, first first.
    pub mishaps: Mutex<Vec<Mishap>>,
}

/// What goes wrong with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mishap {
    None,
    /// It takes effect, but the reply is lost.
    LostReply,
    /// It has no effect and no reply.
    LostCall,
}

impl FakeClaims {
    fn mishap(&self) -> Mishap {
        let mut mishaps = self.mishaps.lock().unwrap();
        if mishaps.is_empty() { Mishap::None } else { mishaps.remove(0) }
    }
}

impl ClaimStore for FakeClaims {
    async fn create(&self, key: &ClaimKey, nonce: Nonce) -> Created {
        tokio::task::yield_now().await;
        let mishap = self.mishap();
        if mishap == Mishap::LostCall {
            return Created::Unknown;
        }
        let mut records = self.records.lock().unwrap();
        if records.contains_key(key) {
            return if mishap == Mishap::None { Created::Exists } else { Created::Unknown };
        }
        let version = records.len() as u64 + 1;
        records.insert(key.clone(), (nonce, version));
        match mishap {
            Mishap::None => Created::New(RecordVersion(version)),
            _ => Created::Unknown,
        }
    }

    async fn read(&self, key: &ClaimKey) -> Found {
        tokio::task::yield_now().await;
        if self.mishap() != Mishap::None {
            return Found::Unknown;
        }
        match self.records.lock().unwrap().get(key) {
            Some((nonce, version)) => Found::Record(*nonce, RecordVersion(*version)),
            None => Found::Absent,
        }
    }

    async fn delete(&self, key: &ClaimKey, _: RecordVersion) {
        if self.mishap() != Mishap::LostCall {
            self.records.lock().unwrap().remove(key);
        }
    }
}

/// An engine on fake searchers.
pub struct Bench {
    pub engine: Engine<FakeTransport, Arc<FakeClaims>>,
    pub transport: Arc<FakeTransport>,
    pub claims: Arc<FakeClaims>,
    pub views: Arc<ViewCell>,
    pub builder: ViewBuilder,
}

impl Bench {
    pub fn new(
        service: ServiceIntent,
        records: &[SearcherRecord],
        transport: Arc<FakeTransport>,
    ) -> Self {
        let mut builder = ViewBuilder::new();
        let views = Arc::new(ViewCell::default());
        views.store(view(&mut builder, intent(service), records));
        let claims = Arc::new(FakeClaims::default());
        let zone = ZoneName::try_new("a").unwrap();
        let engine = Engine::new(
            Arc::clone(&views),
            zone,
            Policy::default(),
            Arc::clone(&transport),
            Arc::clone(&claims),
        );
        Self { engine, transport, claims, views, builder }
    }

    pub async fn ask(&self, submission: Submission) -> Result<Answer, Failure> {
        self.engine.answer(submission).await
    }
}

pub fn submission() -> Submission {
    Submission::new("stock", caller(), Bytes::from_static(b"beech"))
}

pub const V1: IndexVersion = IndexVersion::new(1, 1);
