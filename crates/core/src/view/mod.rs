//! The immutable snapshot of configuration and layout that a request uses.
//!
//! A request loads the view once, by read-copy-update, and keeps it until it
//! ends, so a change of configuration or layout never affects a request that
//! is in progress. The control task builds a new view from the configuration
//! register, the listing and the membership, and carries over the measured
//! state of each searcher.
//!
//! # Example
//!
//! ```
//! use endivevale_core::view::{View, ViewCell};
//!
//! let cell = ViewCell::default();
//! assert!(cell.load().config().is_none());
//! cell.store(View::default());
//! ```

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwap;

use crate::{
    admission::AdmissionController,
    aggregators::{
        Aggregators,
        share::{Role, TierSize},
    },
    attempt_budget::ExtraAttemptBudget,
    intent::{Configuration, InForce, Intent, Rank, ServiceIntent},
    layout::ShardLayout,
    name::{RouteName, ServiceName},
    quantile_estimator::QuantileEstimator,
    route::Route,
    searcher::Searcher,
    sibling::Sibling,
    stats::{RankStats, SubRequestStats},
};

mod aggregation;
mod builder;

pub use builder::ViewBuilder;

/// The quantile of sub-request latencies after which a hedge may be sent.
const HEDGE_QUANTILE: f64 = 0.95;

/// The quantile of a route's attempt latencies that counts as typical.
const TYPICAL_LATENCY_QUANTILE: f64 = 0.5;

/// The hedge delay before any latency was measured.
const INITIAL_HEDGE_DELAY: Duration = Duration::from_millis(20);

/// The share of a route's latency objective that its latency estimates start
/// from, as a divisor: 4 gives a quarter.
const INITIAL_LATENCY_DIVISOR: u32 = 4;

/// The number of sets of counters by caller rank. Rank numbers above it share
/// the last set.
pub const RANKS_WITH_COUNTERS: usize = 8;

/// The limits, estimates and counters of one service on this instance. They
/// are carried over from one view to the next.
#[derive(Debug)]
pub struct ServiceState {
    /// Limits the queries that are processed at the same time.
    pub admission: Arc<AdmissionController>,
    /// Limits hedges and retries.
    pub budget: ExtraAttemptBudget,
    /// Estimates the delay after which a hedge may be sent.
    pub hedge_delay: QuantileEstimator,
    /// Counters of sub-requests.
    pub sub_requests: SubRequestStats,
    ranks: [RankStats; RANKS_WITH_COUNTERS],
}

impl ServiceState {
    fn new(intent: &ServiceIntent) -> Self {
        Self {
            admission: AdmissionController::new(intent.objectives.latency),
            budget: ExtraAttemptBudget::new(intent.extra_attempts),
            hedge_delay: QuantileEstimator::new(HEDGE_QUANTILE, INITIAL_HEDGE_DELAY),
            sub_requests: SubRequestStats::default(),
            ranks: Default::default(),
        }
    }

    fn apply_limits(&self, intent: &ServiceIntent, tier: TierSize, role: Role) {
        self.admission.set_target(intent.objectives.latency);
        self.budget.set_deposit_ratio(intent.extra_attempts);
        let fraction = tier.extra_attempts(role);
        self.budget.set_allowance_fraction(intent.extra_attempt_allowance, fraction);
    }

    /// Returns the counters of a caller rank.
    #[must_use]
    pub fn rank(&self, rank: Rank) -> &RankStats {
        let index = usize::from(rank.number().max(1)) - 1;
        &self.ranks[index.min(RANKS_WITH_COUNTERS - 1)]
    }

    /// Returns the counters of every rank, rank 1 first.
    #[must_use]
    pub const fn ranks(&self) -> &[RankStats; RANKS_WITH_COUNTERS] {
        &self.ranks
    }
}

/// The latency estimates and counters of one route on this instance. They are
/// carried over from one view to the next.
#[derive(Debug)]
pub struct RouteState {
    /// Estimates the 95th percentile of the time from the start of a
    /// sub-request to its reply.
    pub sub_request_latency: QuantileEstimator,
    /// Estimates the median time from the sending of an attempt to its reply.
    pub typical_attempt_latency: QuantileEstimator,
    /// Counters of requests.
    pub stats: RankStats,
}

impl RouteState {
    fn new(objective: Duration) -> Self {
        let initial = objective / INITIAL_LATENCY_DIVISOR;
        Self {
            sub_request_latency: QuantileEstimator::new(HEDGE_QUANTILE, initial),
            typical_attempt_latency: QuantileEstimator::new(TYPICAL_LATENCY_QUANTILE, initial),
            stats: RankStats::default(),
        }
    }
}

/// The configuration, layout and state of one service in a view.
#[derive(Debug)]
pub struct ServiceView {
    intent: Arc<ServiceIntent>,
    layout: ShardLayout,
    state: Arc<ServiceState>,
    searchers: Vec<Arc<Searcher>>,
    aggregators: Aggregators,
}

impl ServiceView {
    /// Returns the instances that send the sub-requests for this service.
    #[must_use]
    pub const fn aggregators(&self) -> &Aggregators {
        &self.aggregators
    }

    /// Returns the declared intent.
    #[must_use]
    pub const fn intent(&self) -> &Arc<ServiceIntent> {
        &self.intent
    }

    /// Returns the layout of the shards.
    #[must_use]
    pub const fn layout(&self) -> &ShardLayout {
        &self.layout
    }

    /// Returns the limits, estimates and counters of the service.
    #[must_use]
    pub const fn state(&self) -> &Arc<ServiceState> {
        &self.state
    }

    /// Returns the searchers of the service, including those that are leaving.
    #[must_use]
    pub fn searchers(&self) -> &[Arc<Searcher>] {
        &self.searchers
    }
}

/// An immutable snapshot of the configuration, the services, the routes and
/// the siblings.
#[derive(Debug, Default)]
pub struct View {
    config: Option<Arc<Configuration<InForce>>>,
    services: BTreeMap<ServiceName, Arc<ServiceView>>,
    /// Invariant: one entry per route of the configuration.
    routes: HashMap<RouteName, Arc<RouteState>>,
    /// The other instances that accept relayed requests.
    siblings: Vec<Arc<Sibling>>,
}

impl View {
    /// Returns the other instances that accept relayed requests.
    #[must_use]
    pub fn siblings(&self) -> &[Arc<Sibling>] {
        &self.siblings
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn config(&self) -> Option<&Arc<Configuration<InForce>>> {
        self.config.as_ref()
    }

    /// Returns the intent of the configuration in force.
    #[must_use]
    pub fn intent(&self) -> Option<&Arc<Intent>> {
        self.config.as_ref().map(|config| config.intent())
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceView>> {
        self.services.get(name)
    }

    /// Returns the state of a route. A route that is not in the configuration
    /// gets a new, empty state.
    #[must_use]
    pub fn route_state(&self, route: &Route) -> Arc<RouteState> {
        match self.routes.get(&route.name) {
            Some(state) => Arc::clone(state),
            None => Arc::new(RouteState::new(route.latency_objective)),
        }
    }

    /// Iterates over the routes of the configuration with their states, in no
    /// particular order.
    pub fn routes(&self) -> impl Iterator<Item = (&RouteName, &Arc<RouteState>)> {
        self.routes.iter()
    }

    /// Iterates over the services, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceView>> {
        self.services.values()
    }

    /// Iterates over all searchers of all services.
    pub fn searchers(&self) -> impl Iterator<Item = &Arc<Searcher>> {
        self.services.values().flat_map(|s| &s.searchers)
    }
}

/// A cell that publishes the current view by read-copy-update.
#[derive(Debug, Default)]
pub struct ViewCell(ArcSwap<View>);

impl ViewCell {
    /// Returns the current view.
    #[must_use]
    pub fn load(&self) -> Arc<View> {
        self.0.load_full()
    }

    /// Replaces the current view.
    pub fn store(&self, view: View) {
        self.0.store(Arc::new(view));
    }
}
