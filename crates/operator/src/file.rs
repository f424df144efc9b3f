//! The declarative file: reading and checking it as a whole.
//!
//! All faults are found in one pass, each with file, line and field. Either
//! all of a file is taken or none of it.
//!
//! # Example
//!
//! ```
//! use endivevale_operator::file;
//!
//! let text = "
//! deployment: sfax
//! objective: coverage
//! default_rank: 3
//! callers:
//!   sales-desk: {rank: 1}
//! services:
//!   stock-search:
//!     routing: all
//!     repeatable: true
//!     deadline: {default: 300ms, max: 2s}
//!     max_body_bytes: 65536
//!     searchers: {slots: 3, connections: 30}
//!     extra_attempts: 0.03
//!     objectives: {latency: 95ms, in_time: 0.99, whole: 0.999, refused: 0.001, extra_load: 0.02}
//! ";
//! let intent = file::read("intent.yaml", text).unwrap();
//! assert_eq!(intent.services.len(), 1);
//! ```

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use endivevale_core::{
    intent::{Intent, Rank, Routing, ServiceIntent, ServiceObjectives},
    name::{CallerName, ServiceName},
};

use crate::{
    fault::{Fault, Faults},
    node,
    section::{Section, TryFromName},
};

/// The largest file that the platform's object holds with its envelope, in
/// bytes.
pub const MAX_FILE_BYTES: usize = 900_000;

/// The last rank that a caller can have.
const MAX_RANK: i64 = 8;

/// The longest deadline that a service can allow. The planned stop waits for
/// it, so it must stay under the server's own period of grace.
const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// The largest request body that a service can allow, in bytes.
const MAX_BODY_BYTES: i64 = 2 * 1024 * 1024;

/// The most slots or connections that a searcher can have.
const MAX_CONNECTIONS: i64 = 100_000;

/// Reads and checks a file.
///
/// # Errors
///
/// Every fault of the file, in order of lines.
pub fn read(file: &str, text: &str) -> Result<Intent, Vec<Fault>> {
    let mut faults = Faults::new(file);
    if text.len() > MAX_FILE_BYTES {
        let size = text.len();
        faults.add(0, "", format!("{size} bytes are over the limit of {MAX_FILE_BYTES}"));
        return faults.into_result(()).and_then(|()| Err(Vec::new()));
    }
    let intent = match node::parse(text) {
        Ok(root) => read_intent(Section::open(root, "", &mut faults), &mut faults),
        Err((line, message)) => {
            faults.add(line, "", message);
            None
        }
    };
    match (intent, faults.into_result(())) {
        (_, Err(found)) => Err(found),
        (Some(intent), Ok(())) => Ok(intent),
        (None, Ok(())) => Err(Vec::new()),
    }
}

fn read_intent(mut root: Section, faults: &mut Faults) -> Option<Intent> {
    let deployment = root.text("deployment", faults);
    let objective = root.parsed("objective", faults);
    let default_rank = read_rank(&mut root, "default_rank", faults);
    let callers = root.section("callers", faults).map(|s| read_callers(s, faults));
    let services = root.section("services", faults).map(|s| read_services(s, faults));
    root.close(faults);
    Some(Intent {
        deployment: deployment?.into(),
        objective: objective?,
        default_rank: default_rank?,
        callers: callers?,
        services: services?,
    })
}

fn read_rank(section: &mut Section, name: &str, faults: &mut Faults) -> Option<Rank> {
    section.integer(name, 1..=MAX_RANK, faults).map(|n| Rank::new(n as u8))
}

fn read_callers(section: Section, faults: &mut Faults) -> BTreeMap<CallerName, Rank> {
    let mut callers = BTreeMap::new();
    for (name, mut fields) in section.entries::<CallerName>(faults) {
        if let Some(rank) = read_rank(&mut fields, "rank", faults) {
            callers.insert(name, rank);
        }
        fields.close(faults);
    }
    callers
}

fn read_services(
    section: Section,
    faults: &mut Faults,
) -> BTreeMap<ServiceName, Arc<ServiceIntent>> {
    let mut services = BTreeMap::new();
    let line = section.line();
    let entries = section.entries::<ServiceName>(faults);
    if entries.is_empty() {
        faults.add(line, "services", "must declare at least one service");
    }
    for (name, fields) in entries {
        if let Some(service) = read_service(name.clone(), fields, faults) {
            services.insert(name, Arc::new(service));
        }
    }
    services
}

fn read_service(
    name: ServiceName,
    mut fields: Section,
    faults: &mut Faults,
) -> Option<ServiceIntent> {
    let routing: Option<Routing> = fields.parsed("routing", faults);
    let repeatable = fields.boolean("repeatable", faults);
    let deadlines = fields.section("deadline", faults).and_then(|s| read_deadlines(s, faults));
    let max_body = fields.integer("max_body_bytes", 1..=MAX_BODY_BYTES, faults);
    let searchers = fields.section("searchers", faults).and_then(|s| read_searchers(s, faults));
    let extra_attempts = fields.share("extra_attempts", faults);
    let objectives = fields.section("objectives", faults).and_then(|s| read_objectives(s, faults));
    fields.close(faults);
    let (default_deadline, max_deadline) = deadlines?;
    let (slots, connections) = searchers?;
    Some(ServiceIntent {
        name,
        routing: routing?,
        repeatable: repeatable?,
        default_deadline,
        max_deadline,
        max_body_bytes: max_body? as usize,
        slots,
        connections,
        extra_attempts: extra_attempts?,
        objectives: objectives?,
    })
}

fn read_deadlines(mut section: Section, faults: &mut Faults) -> Option<(Duration, Duration)> {
    let default = section.span("default", faults);
    let max = section.span("max", faults);
    let (field, max_field) = (section.field("default"), section.field("max"));
    section.close(faults);
    let ((line, default), (max_line, max)) = (default?, max?);
    if max > MAX_DEADLINE {
        faults.add(max_line, &max_field, format!("must be at most {}s", MAX_DEADLINE.as_secs()));
    }
    if default > max {
        faults.add(line, &field, "must be at most the max");
    }
    Some((default, max))
}

fn read_searchers(mut section: Section, faults: &mut Faults) -> Option<(u32, u32)> {
    let slots = section.integer("slots", 1..=MAX_CONNECTIONS, faults);
    let connections = section.integer("connections", 1..=MAX_CONNECTIONS, faults);
    section.close(faults);
    Some((slots? as u32, connections? as u32))
}

fn read_objectives(mut section: Section, faults: &mut Faults) -> Option<ServiceObjectives> {
    let latency = section.span("latency", faults);
    let in_time = section.share("in_time", faults);
    let whole = section.share("whole", faults);
    let refused = section.share("refused", faults);
    let extra_load = section.share("extra_load", faults);
    section.close(faults);
    Some(ServiceObjectives {
        latency: latency?.1,
        in_time: in_time?,
        whole: whole?,
        refused: refused?,
        extra_load: extra_load?,
    })
}

impl TryFromName for CallerName {
    fn try_from_name(text: &str) -> Result<Self, String> {
        CallerName::try_new(text).map_err(|e| e.to_string())
    }
}

impl TryFromName for ServiceName {
    fn try_from_name(text: &str) -> Result<Self, String> {
        ServiceName::try_new(text).map_err(|e| e.to_string())
    }
}
