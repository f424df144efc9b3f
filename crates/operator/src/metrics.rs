//! Metrics as OpenMetrics text.
//!
//! The counters are the atomics that the decisions leave behind; this module
//! reads them when it is asked, so that counting costs no lock on the path
//! of a request. Labels are bounded: services, ranks and the searchers of
//! the platform's list.
//!
//! # Example
//!
//! ```
//! use std::sync::Arc;
//! use endivevale_core::view::ViewCell;
//! use endivevale_operator::metrics::Exporter;
//!
//! let exporter = Exporter::new(Arc::new(ViewCell::default()));
//! assert!(exporter.encode().ends_with("# EOF\n"));
//! ```

use std::{fmt, sync::Arc};

use endivevale_core::{
    stats::{LATENCY_BOUNDS_US, RankStats},
    view::{ServiceView, View, ViewCell},
};
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric, text::encode},
    metrics::{MetricType, counter::ConstCounter, gauge::ConstGauge},
    registry::Registry,
};

/// Encodes the metrics of one instance.
#[derive(Debug)]
pub struct Exporter(Registry);

impl Exporter {
    /// An exporter of what the views show.
    #[must_use]
    pub fn new(views: Arc<ViewCell>) -> Self {
        let mut registry = Registry::with_prefix("endivevale");
        registry.register_collector(Box::new(ViewCollector { views }));
        Self(registry)
    }

    /// The metrics as OpenMetrics text.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string fails only if a metric itself does.
        if let Err(e) = encode(&mut text, &self.0) {
            log::error!(target: "operator", "Metrics were not encoded: {e}.");
        }
        text
    }
}

#[derive(Debug)]
struct ViewCollector {
    views: Arc<ViewCell>,
}

type Labels = Vec<(&'static str, String)>;

impl Collector for ViewCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let view = self.views.load();
        let version = view.config().map_or(0, |p| p.version().number());
        let gauge = ConstGauge::new(version as i64);
        let described = encoder.encode_descriptor(
            "config_version",
            "Version of the configuration in force",
            None,
            gauge.metric_type(),
        )?;
        gauge.encode(described)?;
        encode_requests(&mut encoder, &view)?;
        encode_legs(&mut encoder, &view)?;
        encode_latency(&mut encoder, &view)?;
        encode_gates(&mut encoder, &view)?;
        encode_searchers(&mut encoder, &view)
    }
}

/// One family of counters, with a value for each set of labels.
fn counters(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    values: impl IntoIterator<Item = (Labels, u64)>,
) -> fmt::Result {
    let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
    for (labels, value) in values {
        let counter = ConstCounter::new(value);
        counter.encode(family.encode_family(&labels)?)?;
    }
    Ok(())
}

/// One family of gauges, with a value for each set of labels.
fn gauges(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    values: impl IntoIterator<Item = (Labels, i64)>,
) -> fmt::Result {
    let mut family = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
    for (labels, value) in values {
        let gauge = ConstGauge::new(value);
        gauge.encode(family.encode_family(&labels)?)?;
    }
    Ok(())
}

fn ranks(service: &ServiceView) -> impl Iterator<Item = (u8, &RankStats)> {
    (1..).zip(service.state().ranks())
}

fn encode_requests(encoder: &mut DescriptorEncoder<'_>, view: &View) -> fmt::Result {
    let mut values = Vec::new();
    for service in view.services() {
        for (rank, stats) in ranks(service) {
            let outcomes = [
                ("whole", &stats.whole),
                ("partial", &stats.partial),
                ("refused", &stats.refused),
                ("unknown", &stats.unknown),
                ("in_time", &stats.in_time),
            ];
            for (outcome, counter) in outcomes {
                let labels = vec![
                    ("service", service.intent().name.to_string()),
                    ("rank", rank.to_string()),
                    ("outcome", outcome.to_owned()),
                ];
                values.push((labels, counter.get()));
            }
        }
    }
    counters(encoder, "requests", "Requests by outcome; in_time is a part of whole", values)
}

fn encode_legs(encoder: &mut DescriptorEncoder<'_>, view: &View) -> fmt::Result {
    let mut values = Vec::new();
    for service in view.services() {
        let legs = &service.state().legs;
        let kinds = [
            ("needed", &legs.needed),
            ("sent", &legs.sent),
            ("hedged", &legs.hedged),
            ("retried", &legs.retried),
            ("crossed", &legs.crossed),
            ("repinned", &legs.repinned),
        ];
        for (kind, counter) in kinds {
            let labels =
                vec![("service", service.intent().name.to_string()), ("kind", kind.to_owned())];
            values.push((labels, counter.get()));
        }
    }
    counters(encoder, "sub_requests", "Sub-requests by kind", values)
}

fn encode_latency(encoder: &mut DescriptorEncoder<'_>, view: &View) -> fmt::Result {
    let help = "Latency of answers";
    let mut family =
        encoder.encode_descriptor("answer_latency_seconds", help, None, MetricType::Histogram)?;
    for service in view.services() {
        for (rank, stats) in ranks(service) {
            let counts = stats.latency.counts();
            let bounds = LATENCY_BOUNDS_US.iter().map(|us| *us as f64 / 1e6);
            let buckets: Vec<(f64, u64)> =
                bounds.chain([f64::MAX]).zip(counts.iter().copied()).collect();
            let labels: Labels =
                vec![("service", service.intent().name.to_string()), ("rank", rank.to_string())];
            let sum = stats.latency.sum_us() as f64 / 1e6;
            let total = counts.iter().sum();
            let mut metric = family.encode_family(&labels)?;
            metric.encode_histogram::<Labels>(sum, total, &buckets, None)?;
        }
    }
    Ok(())
}

fn encode_gates(encoder: &mut DescriptorEncoder<'_>, view: &View) -> fmt::Result {
    let label = |s: &ServiceView| vec![("service", s.intent().name.to_string())];
    let in_flight = view.services().map(|s| (label(s), i64::from(s.state().admission.in_flight())));
    gauges(encoder, "queries_in_flight", "Queries worked on", in_flight)?;
    let limit = view.services().map(|s| (label(s), s.state().admission.limit() as i64));
    gauges(encoder, "queries_limit", "The most queries that may be worked on", limit)
}

fn encode_searchers(encoder: &mut DescriptorEncoder<'_>, view: &View) -> fmt::Result {
    let mut values = Vec::new();
    for service in view.services() {
        for searcher in service.searchers() {
            let stats = searcher.stats();
            let kinds = [
                ("sent", &stats.sent),
                ("part", &stats.parts),
                ("refused", &stats.refused),
                ("failed", &stats.failed),
                ("silent", &stats.silent),
                ("connect_refused", &stats.connect_refused),
            ];
            for (kind, counter) in kinds {
                let labels = vec![
                    ("service", service.intent().name.to_string()),
                    ("searcher", searcher.name().to_string()),
                    ("kind", kind.to_owned()),
                ];
                values.push((labels, counter.get()));
            }
        }
    }
    counters(encoder, "searcher_attempts", "Attempts and connections by searcher", values)
}
