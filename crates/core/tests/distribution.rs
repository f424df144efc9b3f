//! Tests of the distribution of a newer state among the instances: whom each
//! asks, and how long a large change takes over slow links.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use endivevale_cases::cases;
use endivevale_core::{
    distribution::read_schedule::READ_INTERVAL,
    distribution::{
        Announcement, ContentDigest, DistributionTree, KnownVersions, ListingVersions,
        MAX_CHILDREN, Pull, PullPlan, RecentTexts, STALLED_AFTER, StoreRevision,
    },
    intent::ConfigVersion,
    layout::InstanceRecord,
    name::{InstanceName, ZoneName},
};
use tokio::{
    sync::{Mutex, watch},
    task::JoinSet,
    time::{Instant, advance, sleep, sleep_until, timeout},
};

/// The time within which a change must be in force on every instance.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an instance waits for a state that it does not have yet, before it
/// answers.
const REPLY_WAIT: Duration = Duration::from_millis(500);

/// How long an instance waits for a reply to begin.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_millis(800);

/// Bytes a second on a link of 20 Mbit/s.
const LINK_BYTES_PER_SECOND: f64 = 2_500_000.0;

/// The size of a configuration with 600 routes, in bytes.
const TEXT_BYTES: f64 = 126_000.0;

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (index / 250) as u8, (index % 250) as u8], 7100))
}

/// Returns this many instances, in turn in each of the zones.
fn instances(count: usize, zones: usize) -> Vec<InstanceRecord> {
    let record = |index: usize| InstanceRecord {
        name: InstanceName::try_new(&format!("entry-{index}")).unwrap(),
        zone: ZoneName::try_new(&format!("z{}", index % zones)).unwrap(),
        sibling: addr(index),
        caller: addr(index),
        admin: addr(index),
        relay: None,
    };
    (0..count).map(record).collect()
}

fn announcement(version: u64, source: SocketAddr) -> Announcement {
    Announcement {
        config: ConfigVersion::new(version),
        listing: ListingVersions::NONE,
        store_revision: StoreRevision::NONE,
        source,
    }
}

fn known(version: u64) -> KnownVersions {
    KnownVersions { config: ConfigVersion::new(version), listing: ListingVersions::NONE }
}

cases! {
    fn each_instance_has_few_children_and_a_short_way_to_its_root(
        count: usize, zones: usize, max_depth: usize
    ) {
        let instances = instances(count, zones);
        let mut children: HashMap<SocketAddr, usize> = HashMap::new();
        let mut roots = 0;
        for own in &instances {
            let tree = DistributionTree::new(own, &instances);
            let ancestors = tree.ancestors();
            assert!(ancestors.len() <= max_depth, "{} ancestors", ancestors.len());
            match ancestors.first() {
                Some(parent) => *children.entry(*parent).or_default() += 1,
                None => roots += 1,
            }
        }
        assert_eq!(roots, zones);
        assert!(children.values().all(|count| *count <= MAX_CHILDREN));
    }
    alone => (1, 1, 0),
    nine_in_four_zones => (9, 4, 1),
    eighty_seven_in_four_zones => (87, 4, 3),
    three_hundred_in_four_zones => (300, 4, 4),
    design_size => (3_500, 19, 4),
}

/// What each instance of a simulated tier has.
struct Tier {
    instances: Vec<InstanceRecord>,
    versions: Vec<watch::Sender<u64>>,
    /// The link of each instance, which sends one reply at a time.
    links: Vec<Mutex<()>>,
    /// Whether an instance accepts connections and never replies.
    is_silent: Vec<bool>,
}

impl Tier {
    fn new(count: usize, is_silent: impl Fn(usize) -> bool) -> Arc<Self> {
        Arc::new(Self {
            instances: instances(count, 4),
            versions: (0..count).map(|_| watch::Sender::new(1)).collect(),
            links: (0..count).map(|_| Mutex::default()).collect(),
            is_silent: (0..count).map(is_silent).collect(),
        })
    }

    /// Carries out a pull. Returns the version of the reply.
    async fn reply_of(&self, source: SocketAddr, wanted: u64) -> Option<u64> {
        let index = self.instances.iter().position(|i| i.sibling == source).unwrap();
        if self.is_silent[index] {
            sleep(FIRST_BYTES_TIMEOUT).await;
            return None;
        }
        let mut version = self.versions[index].subscribe();
        drop(timeout(REPLY_WAIT, version.wait_for(|version| *version >= wanted)).await);
        let version = *version.borrow();
        let _link = self.links[index].lock().await;
        sleep(Duration::from_secs_f64(TEXT_BYTES / LINK_BYTES_PER_SECOND)).await;
        Some(version)
    }

    /// Runs one instance until it has the announced version.
    async fn run_instance(&self, index: usize, announced: Announcement) {
        let mut plan = PullPlan::new();
        plan.set_instances(&self.instances[index], &self.instances);
        plan.announce(announced);
        let own = &self.versions[index];
        let wanted = announced.config.number();
        while *own.borrow() < wanted {
            let Some(pull) = plan.start_pull(known(*own.borrow()), Instant::now()) else {
                sleep_until(plan.due().unwrap()).await;
                continue;
            };
            let reply = self.reply_of(pull.source(), wanted).await;
            own.send_if_modified(|own| match reply {
                Some(version) if version > *own => {
                    *own = version;
                    true
                }
                _ => false,
            });
            plan.record_end(pull, known(*own.borrow()), Instant::now());
        }
    }
}

cases! {
    fn a_large_change_is_in_force_in_time_over_slow_links(count: usize, silent_each: usize) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time().start_paused(true).build().unwrap();
        runtime.block_on(async {
            let tier = Tier::new(count, |index| index > 0 && index % silent_each == 0);
            tier.versions[0].send_replace(2);
            let started = Instant::now();
            let mut tasks = JoinSet::new();
            for index in (1..count).filter(|index| !tier.is_silent[*index]) {
                let tier = Arc::clone(&tier);
                tasks.spawn(async move { tier.run_instance(index, announcement(2, addr(0))).await });
            }
            tasks.join_all().await;
            // The reader sees the change up to one interval after it was made.
            let took = started.elapsed() + READ_INTERVAL;
            assert!(took <= IN_FORCE_TIMEOUT, "{count} instances took {took:?}");
        });
    }
    eighty_seven_instances => (87, usize::MAX),
    three_hundred_instances => (300, usize::MAX),
    design_size => (3_500, usize::MAX),
    a_tenth_of_the_instances_silent => (87, 10),
    a_fifth_of_the_instances_silent => (300, 5),
}

/// Starts the pull that is due.
fn start(plan: &mut PullPlan, version: u64) -> Option<Pull> {
    plan.start_pull(known(version), Instant::now())
}

#[tokio::test(start_paused = true)]
async fn what_is_announced_during_a_pull_is_fetched_right_after_it() {
    let mut plan = PullPlan::new();
    plan.announce(announcement(2, addr(1)));
    let pull = start(&mut plan, 1).unwrap();
    plan.announce(announcement(5, addr(2)));
    assert_eq!(start(&mut plan, 1), None);
    plan.record_end(pull, known(2), Instant::now());
    assert_eq!(start(&mut plan, 2).unwrap().source(), addr(2));
}

#[tokio::test(start_paused = true)]
async fn older_announcement_does_not_replace_a_newer_one() {
    let mut plan = PullPlan::new();
    plan.announce(announcement(5, addr(1)));
    plan.announce(announcement(4, addr(2)));
    assert_eq!(start(&mut plan, 4).unwrap().source(), addr(1));
    assert_eq!(start(&mut plan, 5), None);
}

#[tokio::test(start_paused = true)]
async fn source_that_brought_nothing_is_passed_over_and_then_paused_for() {
    let instances = instances(8, 1);
    let is_leaf =
        |own: &&InstanceRecord| DistributionTree::new(own, &instances).ancestors().len() == 2;
    let own = instances.iter().find(is_leaf).unwrap();
    let ancestors = DistributionTree::new(own, &instances).ancestors().to_vec();
    let mut plan = PullPlan::new();
    plan.set_instances(own, &instances);
    plan.announce(announcement(2, addr(99)));
    for source in [ancestors[0], ancestors[1], addr(99)] {
        let pull = start(&mut plan, 1).unwrap();
        assert_eq!(pull.source(), source);
        plan.record_end(pull, known(1), Instant::now());
    }
    assert_eq!(start(&mut plan, 1), None);
    sleep_until(plan.due().unwrap()).await;
    assert_eq!(start(&mut plan, 1).unwrap().source(), addr(99));
}

#[tokio::test(start_paused = true)]
async fn instance_without_progress_is_stalled_until_it_reads_the_store() {
    let mut plan = PullPlan::new();
    plan.announce(announcement(2, addr(1)));
    start(&mut plan, 1).unwrap();
    assert!(!plan.is_stalled(Instant::now()));
    advance(STALLED_AFTER).await;
    assert!(plan.is_stalled(Instant::now()));
    plan.record_store_read(Instant::now());
    assert!(!plan.is_stalled(Instant::now()));
    assert_eq!(start(&mut plan, 2), None);
    advance(STALLED_AFTER).await;
    assert!(!plan.is_stalled(Instant::now()));
}

#[test]
fn oldest_texts_are_dropped_over_the_limits() {
    let mut texts = RecentTexts::default();
    let text = |n: usize| n.to_string().repeat(1_500_000);
    for n in 0..4 {
        texts.push(ContentDigest::of(&text(n)), Arc::from(text(n)));
    }
    assert!(texts.get(ContentDigest::of(&text(1))).is_none());
    assert!(texts.get(ContentDigest::of(&text(2))).is_some());
    assert!(texts.get(ContentDigest::of(&text(3))).is_some());
    assert!(texts.get(ContentDigest::NONE).is_none());
}
