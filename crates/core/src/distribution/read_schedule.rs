//! The schedule by which one instance reads the store on behalf of all.
//!
//! A read of the store costs the same on every instance, so one instance reads
//! and sends the result to its siblings. No leader is elected: the instances
//! are ordered by a hash of their names, and each waits slightly longer than
//! its predecessor. The first one to read notifies all others, which restart
//! their waits. If the first instance ends or cannot reach the store, the next
//! one reads soon after, and then goes on as if it were the first until one before
//! it reads, so that the silence of those is waited for once only. If two instances
//! cannot reach each other, both read, which is safe.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::{name::InstanceName, distribution::read_schedule::{READ_INTERVAL, ReadSchedule}};
//! use tokio::time::Instant;
//!
//! let me = InstanceName::try_new("entry-1").unwrap();
//! let now = Instant::now();
//! let mut schedule = ReadSchedule::new(me, now);
//! schedule.make_due(now);
//! assert_eq!(schedule.due(), now);
//! schedule.record_read(now);
//! assert_eq!(schedule.due(), now + READ_INTERVAL);
//! # });
//! ```

use std::time::Duration;

use tokio::time::Instant;

use crate::name::InstanceName;

/// The time between two reads on behalf of all instances. A leaving searcher
/// gets no new requests about this long after its entry in the store says so.
pub const READ_INTERVAL: Duration = Duration::from_millis(900);

/// The additional wait of each instance relative to its predecessor in the
/// order.
pub const READ_STAGGER: Duration = Duration::from_millis(150);

/// The position in the order beyond which the wait grows no further.
const MAX_POSITION: u32 = 40;

/// The time that a starting instance waits for its siblings' state before it
/// reads the store itself.
pub const STARTUP_WAIT: Duration = Duration::from_millis(80);

/// The maximum addition to [`STARTUP_WAIT`]. The addition is derived from the
/// instance's name, so that instances that start together do not all read at
/// once.
const STARTUP_SPREAD: Duration = Duration::from_millis(250);

/// The pause after the first failed read.
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// The maximum pause after failed reads.
const MAX_PAUSE: Duration = Duration::from_millis(2200);

/// The maximum pause after failed reads of an instance that has no state yet
/// and so cannot serve.
pub const MAX_STARTUP_PAUSE: Duration = Duration::from_millis(300);

/// The schedule of one instance's reads.
#[derive(Debug)]
pub struct ReadSchedule {
    own_name: InstanceName,
    /// The number of instances before this one in the order, up to the maximum.
    position: u32,
    /// Whether this instance has read in its turn and none before it in the order
    /// has since.
    is_reader: bool,
    /// Whether this instance's own last read failed. It then waits one step longer,
    /// so that the read of a sibling that reaches the store comes first and no call
    /// of its own hangs when its turn comes.
    has_failed: bool,
    /// The time of the last read, by this instance or by a sibling that sent
    /// its result.
    last_read: Option<Instant>,
    /// The time before which no read is due, after a start or a failed read.
    paused_until: Instant,
    /// The pause after the next failed read.
    pause: Duration,
}

impl ReadSchedule {
    /// Creates a schedule whose first read is due after a wait in which
    /// siblings can send their state.
    #[must_use]
    pub fn new(own_name: InstanceName, now: Instant) -> Self {
        let spread = STARTUP_SPREAD.mul_f64(own_name.stable_hash() as f64 / u64::MAX as f64);
        let paused_until = now + STARTUP_WAIT + spread;
        Self {
            own_name,
            position: 0,
            is_reader: false,
            has_failed: false,
            last_read: None,
            paused_until,
            pause: MIN_PAUSE,
        }
    }

    /// Makes a read due immediately, since no sibling reads.
    pub fn make_due(&mut self, now: Instant) {
        self.last_read = None;
        self.paused_until = now;
    }

    /// Sets the instances of the tier, which determine this one's position.
    pub fn set_instances<'a>(&mut self, names: impl IntoIterator<Item = &'a InstanceName>) {
        let predecessors = names.into_iter().filter(|name| self.is_preceded_by(name)).count();
        self.position = (predecessors as u32).min(MAX_POSITION);
    }

    /// Records that some sibling read the store at this time and that its state is
    /// known here. The store is there, so pauses after failed reads of this
    /// instance's own end.
    pub fn record_read(&mut self, at: Instant) {
        if self.last_read.is_none_or(|last| last < at) {
            self.last_read = Some(at);
            self.pause = MIN_PAUSE;
            self.paused_until = self.paused_until.min(at);
        }
    }

    /// Records that this sibling read the store at this time and sent all of its
    /// state.
    pub fn record_read_by(&mut self, sibling: &InstanceName, at: Instant) {
        self.record_read(at);
        if self.is_preceded_by(sibling) {
            self.is_reader = false;
        }
    }

    /// Records that a sibling has read the store at this time, whose state is not
    /// known here yet. An instance whose own last read failed waits for that state
    /// rather than call the store again.
    pub fn record_newer_state(&mut self, at: Instant) {
        if self.has_failed {
            self.record_read(at);
        }
    }

    /// Records that this instance's own read succeeded.
    pub fn record_success(&mut self, now: Instant) {
        // A read before its turn, as that at the start, shows nothing about those
        // before it.
        let was_due = self.last_read.is_some() && self.due() <= now;
        self.is_reader |= was_due;
        self.has_failed = false;
        self.pause = MIN_PAUSE;
        self.paused_until = now;
        self.last_read = Some(now);
    }

    /// Records that this instance's own read failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.has_failed = true;
        let max_pause = if self.last_read.is_none() { MAX_STARTUP_PAUSE } else { MAX_PAUSE };
        self.paused_until = now + self.pause.min(max_pause) + READ_STAGGER * self.position;
        self.pause = (self.pause * 2).min(max_pause);
    }

    /// Returns whether this instance has read in its turn and none before it has
    /// since.
    #[must_use]
    pub const fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Returns whether an instance comes before this one in the order.
    #[must_use]
    pub fn is_preceded_by(&self, name: &InstanceName) -> bool {
        name.stable_hash() > self.own_name.stable_hash()
    }

    /// Returns the additional wait for those before this instance in the order.
    fn stagger(&self) -> Duration {
        let own_step = READ_STAGGER * u32::from(self.has_failed);
        match self.is_reader {
            true => own_step,
            false => own_step + READ_STAGGER * self.position,
        }
    }

    /// Returns the time at which the next read is due.
    #[must_use]
    pub fn due(&self) -> Instant {
        let wait = READ_INTERVAL + self.stagger();
        let due = self.last_read.map_or(self.paused_until, |at| at + wait);
        due.max(self.paused_until)
    }
}
