//! The store and the searchers that register themselves in it.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use endivevale_core::{
    distribution::{StoreRevision, listing_delta::Change},
    layout::{InstanceRecord, SearcherRecord, SearcherState},
    name::{InstanceName, SearcherName, ServiceName, ZoneName},
};
use rand::{RngExt, rngs::StdRng, seq::IteratorRandom};
use tokio::time::Instant;

fn instance_record(number: usize) -> InstanceRecord {
    let addr = format!("127.0.0.1:{}", 20_000 + number).parse().unwrap();
    InstanceRecord {
        name: InstanceName::try_new(&format!("entry-{number}")).unwrap(),
        zone: ZoneName::try_new("a").unwrap(),
        sibling: addr,
        caller: addr,
        admin: addr,
        relay: None,
    }
}

/// How long a searcher that drains goes on serving.
const DRAIN: Duration = Duration::from_millis(3500);

/// The time without renewals after which the store removes an entry.
const EXPIRY: Duration = Duration::from_millis(3600);

/// The time between two copies of the store.
const COPY_INTERVAL: Duration = Duration::from_secs(1);

/// The number of copies that are kept.
const COPIES: usize = 9;

/// What the store had at one time.
#[derive(Clone)]
struct Copy {
    at: Instant,
    number: u64,
    entries: BTreeMap<SearcherName, SearcherRecord>,
    log: Vec<(StoreRevision, Change)>,
    tier: Vec<InstanceRecord>,
}

/// A searcher, and what it does next.
#[derive(Debug)]
struct Searcher {
    record: SearcherRecord,
    is_alive: bool,
    /// When it last wrote its entry, or would have if the store were there.
    last_renewal: Instant,
    /// When it registers again after its entry was removed in an outage.
    registers_at: Option<Instant>,
    /// When it ends after it began to drain.
    ends_at: Option<Instant>,
}

/// An entry's removal.
#[derive(Debug, Clone, Copy)]
pub struct Removal {
    pub incarnation: u64,
    pub at: Instant,
    pub was_in_outage: bool,
}

/// The store.
pub struct Store {
    /// Rises each time the store comes back from a copy.
    epoch: u64,
    /// The number of the last revision of the epoch.
    number: u64,
    pub entries: BTreeMap<SearcherName, SearcherRecord>,
    pub log: Vec<(StoreRevision, Change)>,
    /// The last removal of each entry.
    pub removals: BTreeMap<SearcherName, Removal>,
    /// Whether instances find its history gone at times, and do not read the list of
    /// instances at each read.
    pub compacts: bool,
    /// The entries of the instances of the tier.
    pub tier: Vec<InstanceRecord>,
    searchers: BTreeMap<SearcherName, Searcher>,
    away_until: Option<Instant>,
    /// When the last outage ended.
    pub back_since: Instant,
    /// Whether entries can expire in this outage.
    forgets: bool,
    /// Whether the store comes back from a copy after this outage.
    loses_writes: bool,
    /// The latest copies, the oldest first.
    copies: VecDeque<Copy>,
    next_number: u64,
}

impl Store {
    pub fn with_searchers(count: usize, rng: &mut StdRng) -> Self {
        let mut store = Self {
            epoch: 1,
            number: 10,
            entries: BTreeMap::new(),
            log: vec![],
            removals: BTreeMap::new(),
            compacts: true,
            tier: vec![],
            searchers: BTreeMap::new(),
            away_until: None,
            back_since: Instant::now(),
            forgets: false,
            loses_writes: false,
            copies: VecDeque::new(),
            next_number: 0,
        };
        (0..count).for_each(|_| store.add_searcher(rng));
        store
    }

    pub const fn revision(&self) -> StoreRevision {
        StoreRevision::new(self.epoch, self.number)
    }

    pub const fn is_up(&self) -> bool {
        self.away_until.is_none()
    }

    /// Returns whether the process behind an entry runs and has not drained.
    pub fn is_alive(&self, name: &SearcherName, incarnation: u64) -> bool {
        self.searchers.get(name).is_some_and(|s| {
            s.is_alive && s.ends_at.is_none() && s.record.incarnation == incarnation
        })
    }

    /// Returns the changes after a revision of this epoch.
    pub fn changes_after(&self, revision: StoreRevision) -> Vec<Change> {
        let after = self.log.iter().filter(|(at, _)| at.number() > revision.number());
        after.map(|(_, change)| change.clone()).collect()
    }

    pub fn begin_outage(&mut self, rng: &mut StdRng) {
        if self.is_up() {
            let duration = Duration::from_millis(rng.random_range(300..7000));
            self.away_until = Some(Instant::now() + duration);
            self.forgets = rng.random_bool(0.7);
        }
    }

    /// Begins a short outage after which the store comes back from a copy that is
    /// some seconds old, and gives out its later revisions again.
    pub fn begin_restore(&mut self, rng: &mut StdRng) {
        if self.is_up() {
            let duration = Duration::from_millis(rng.random_range(100..2500));
            self.away_until = Some(Instant::now() + duration);
            self.loses_writes = true;
        }
    }

    fn keep_copy(&mut self) {
        let now = Instant::now();
        if self.copies.back().is_some_and(|last| now < last.at + COPY_INTERVAL) {
            return;
        }
        self.copies.push_back(Copy {
            at: now,
            number: self.number,
            entries: self.entries.clone(),
            log: self.log.clone(),
            tier: self.tier.clone(),
        });
        if self.copies.len() > COPIES {
            self.copies.pop_front();
        }
    }

    /// Goes back to a copy. Searchers whose entries are lost write them again; the
    /// entries of those that are gone expire.
    fn restore(&mut self, rng: &mut StdRng) {
        let now = Instant::now();
        let kept = rng.random_range(0..COPIES).min(self.copies.len());
        self.copies.truncate(kept + 1);
        let Some(copy) = self.copies.back().cloned() else { return };
        let lost = self.entries.keys().filter(|name| !copy.entries.contains_key(*name));
        for name in lost {
            let incarnation = self.entries[name].incarnation;
            let removal = Removal { incarnation, at: now, was_in_outage: true };
            self.removals.insert(name.clone(), removal);
        }
        for (name, record) in &copy.entries {
            let gone = Searcher {
                record: record.clone(),
                is_alive: false,
                last_renewal: now,
                registers_at: None,
                ends_at: None,
            };
            self.searchers.entry(name.clone()).or_insert(gone).last_renewal = now;
        }
        self.epoch += 1;
        self.number = copy.number;
        self.entries = copy.entries;
        self.log = copy.log;
        self.tier = copy.tier;
    }

    /// Lets searchers come, drain, crash and restart, and instances register.
    pub fn change_searchers(&mut self, rng: &mut StdRng) {
        if self.is_up() && rng.random_bool(0.004) {
            self.number += 1;
            self.tier.push(instance_record(self.tier.len()));
        }
        if self.is_up() && rng.random_bool(0.02) && self.searchers.len() < 16 {
            self.add_searcher(rng);
        }
        if !rng.random_bool(0.04) {
            return;
        }
        let Some(name) = self.searchers.keys().choose(rng).cloned() else { return };
        match rng.random_range(0..3) {
            0 => self.searchers.get_mut(&name).unwrap().is_alive = false,
            1 => self.drain(&name),
            _ => self.restart(&name),
        }
    }

    fn add_searcher(&mut self, rng: &mut StdRng) {
        self.next_number += 1;
        let record = SearcherRecord {
            name: SearcherName::try_new(&format!("s{}", self.next_number)).unwrap(),
            incarnation: rng.random_range(1..1000),
            service: ServiceName::try_new("s").unwrap(),
            zone: ZoneName::try_new("a").unwrap(),
            addr: format!("127.0.0.1:{}", self.next_number).parse().unwrap(),
            state: SearcherState::Live,
            holdings: vec![],
        };
        self.write(record.clone());
        let searcher = Searcher {
            record: record.clone(),
            is_alive: true,
            last_renewal: Instant::now(),
            registers_at: None,
            ends_at: None,
        };
        self.searchers.insert(record.name, searcher);
    }

    fn drain(&mut self, name: &SearcherName) {
        let searcher = self.searchers.get_mut(name).unwrap();
        let can_drain = searcher.is_alive && searcher.ends_at.is_none();
        if self.away_until.is_some() || !can_drain || !self.entries.contains_key(name) {
            return;
        }
        searcher.ends_at = Some(Instant::now() + DRAIN);
        searcher.record.state = SearcherState::Leaving;
        let record = searcher.record.clone();
        self.write(record);
    }

    fn restart(&mut self, name: &SearcherName) {
        let searcher = self.searchers.get_mut(name).unwrap();
        if self.away_until.is_some() {
            return;
        }
        searcher.record.incarnation += 1;
        searcher.record.state = SearcherState::Live;
        (searcher.is_alive, searcher.ends_at, searcher.registers_at) = (true, None, None);
        searcher.last_renewal = Instant::now();
        let record = searcher.record.clone();
        self.write(record);
    }

    fn write(&mut self, record: SearcherRecord) {
        if self.entries.get(&record.name) == Some(&record) {
            return;
        }
        self.number += 1;
        self.entries.insert(record.name.clone(), record.clone());
        self.log.push((self.revision(), Change::Written(record)));
    }

    fn remove(&mut self, name: &SearcherName) {
        let Some(record) = self.entries.remove(name) else { return };
        self.number += 1;
        self.log.push((self.revision(), Change::Removed(name.clone())));
        let was_in_outage = self.away_until.is_some();
        let removal =
            Removal { incarnation: record.incarnation, at: Instant::now(), was_in_outage };
        self.removals.insert(name.clone(), removal);
    }

    /// Ends outages and expires, renews and registers entries. The revision also
    /// increases by changes of other kinds.
    pub fn step(&mut self, rng: &mut StdRng) {
        let now = Instant::now();
        if self.away_until.is_some_and(|until| until <= now) {
            self.away_until = None;
            self.back_since = now;
            if std::mem::take(&mut self.loses_writes) {
                self.restore(rng);
            }
        }
        if self.is_up() {
            self.keep_copy();
        }
        if self.is_up() && rng.random_bool(0.1) {
            self.number += 1;
        }
        let names: Vec<_> = self.searchers.keys().cloned().collect();
        for name in names {
            self.step_searcher(&name, rng);
        }
        let entries = &self.entries;
        self.searchers.retain(|name, s| s.is_alive || entries.contains_key(name));
    }

    fn step_searcher(&mut self, name: &SearcherName, rng: &mut StdRng) {
        let (now, is_up, is_listed) =
            (Instant::now(), self.is_up(), self.entries.contains_key(name));
        let searcher = self.searchers.get_mut(name).unwrap();
        if searcher.ends_at.is_some_and(|at| at <= now) {
            searcher.is_alive = false;
            if is_up {
                self.remove(name);
            }
            return;
        }
        let is_current = self.entries.get(name) == Some(&searcher.record);
        if is_up && searcher.is_alive && is_listed {
            searcher.last_renewal = now;
        }
        if is_up && searcher.is_alive && !is_current {
            let wait = Duration::from_millis(rng.random_range(100..1900));
            let at = *searcher.registers_at.get_or_insert(now + wait);
            if at <= now {
                searcher.registers_at = None;
                searcher.last_renewal = now;
                let record = searcher.record.clone();
                self.write(record);
            }
            return;
        }
        let can_expire = is_up || self.forgets;
        if can_expire && now.duration_since(searcher.last_renewal) >= EXPIRY {
            self.remove(name);
        }
    }
}
