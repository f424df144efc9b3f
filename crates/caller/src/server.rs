//! The rocket that serves the front.
//!
//! # Example
//!
//! See the [crate](crate).

use std::{io::Cursor, net::SocketAddr};

use endivevale_core::{
    answer::Answer,
    error::{ErrorKind, Failure},
    node::Phase,
};
use rocket::{
    Build, Data, Request, Response, Rocket, State, catch, catchers,
    config::{Config, Shutdown},
    data::{ByteUnit, ToByteUnit},
    fairing::{Fairing, Info, Kind},
    get,
    http::{ContentType, Header, Status},
    post,
    response::{self, Responder},
    routes,
};

use crate::{
    Front,
    answer::{AnswerDocument, FailureDocument},
};

/// The largest query document that is read at all, in MiB. Services set
/// tighter limits for the body inside.
const DOCUMENT_LIMIT_MIB: u64 = 4;

/// How long an idle connection of a caller is kept, in seconds.
const KEEP_ALIVE_SECS: u32 = 60;

/// How long rocket lets a connection go on after it stopped accepting, in
/// seconds. It is over the longest deadline that a service can declare, so
/// that rocket cuts nothing; the planned stop ends the process earlier, as
/// soon as no request is being answered.
const ROCKET_GRACE_SECS: u32 = 120;

/// How long rocket waits for a connection to close after that, in seconds.
const ROCKET_MERCY_SECS: u32 = 1;

/// Builds the rocket that serves the front at this address.
#[must_use]
pub fn build(addr: SocketAddr, front: Front) -> Rocket<Build> {
    rocket::custom(config(addr))
        .manage(front)
        .attach(CloseWhenLeaving)
        .mount("/", routes![query, healthz, readyz, metrics])
        .register("/", catchers![unknown_endpoint, any_failure])
}

/// The settings of a rocket that leaves signals and logs to this program.
#[must_use]
pub fn config(addr: SocketAddr) -> Config {
    Config {
        address: addr.ip(),
        port: addr.port(),
        keep_alive: KEEP_ALIVE_SECS,
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        shutdown: Shutdown {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            grace: ROCKET_GRACE_SECS,
            mercy: ROCKET_MERCY_SECS,
            force: false,
            ..Shutdown::default()
        },
        ..Config::release_default()
    }
}

#[post("/v1/query", data = "<data>")]
async fn query(data: Data<'_>, front: &State<Front>) -> Reply {
    let _answering = front.in_flight().begin();
    let limit: ByteUnit = DOCUMENT_LIMIT_MIB.mebibytes();
    let json = match data.open(limit).into_bytes().await {
        Ok(json) if json.is_complete() => json.into_inner(),
        Ok(_) => {
            let text = format!("the document is over {DOCUMENT_LIMIT_MIB} MiB");
            return Reply::failure(&Failure::new(ErrorKind::BodyTooLarge, text));
        }
        Err(e) => {
            let text = format!("the document broke off: {e}");
            return Reply::failure(&Failure::new(ErrorKind::MalformedRequest, text));
        }
    };
    match front.query(&json).await {
        Ok(answer) => Reply::answer(&answer),
        Err(failure) => Reply::failure(&failure),
    }
}

#[get("/healthz")]
const fn healthz() -> &'static str {
    "alive\n"
}

#[get("/readyz")]
fn readyz(front: &State<Front>) -> (Status, String) {
    let phase = front.phase();
    let status = if phase == Phase::Serving { Status::Ok } else { Status::ServiceUnavailable };
    (status, format!("{phase}\n"))
}

#[get("/metrics")]
fn metrics(front: &State<Front>) -> (ContentType, String) {
    let kind = ContentType::new("application", "openmetrics-text")
        .with_params([("version", "1.0.0"), ("charset", "utf-8")]);
    (kind, front.metrics())
}

#[catch(404)]
fn unknown_endpoint(req: &Request<'_>) -> Reply {
    let text = format!("{} {} is not an endpoint", req.method(), req.uri().path());
    Reply::failure(&Failure::new(ErrorKind::UnknownEndpoint, text))
}

#[catch(default)]
fn any_failure(status: Status, _: &Request<'_>) -> Reply {
    let kind = match status.code {
        400..=499 => ErrorKind::MalformedRequest,
        _ => ErrorKind::Internal,
    };
    Reply::failure(&Failure::new(kind, status.to_string()))
}

/// A JSON document with its status.
struct Reply {
    status: Status,
    json: Vec<u8>,
}

impl Reply {
    fn answer(answer: &Answer) -> Self {
        match serde_json::to_vec(&AnswerDocument(answer)) {
            Ok(json) => Self { status: Status::Ok, json },
            Err(e) => Self::failure(&Failure::new(ErrorKind::Internal, e.to_string())),
        }
    }

    fn failure(failure: &Failure) -> Self {
        let json = serde_json::to_vec(&FailureDocument(failure)).unwrap_or_default();
        Self { status: Status::new(failure.kind().verdict().status()), json }
    }
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        Response::build()
            .status(self.status)
            .header(ContentType::JSON)
            .sized_body(self.json.len(), Cursor::new(self.json))
            .ok()
    }
}

/// Asks callers to close their kept connections while the instance leaves,
/// so that none sends on a connection that is about to end.
struct CloseWhenLeaving;

#[rocket::async_trait]
impl Fairing for CloseWhenLeaving {
    fn info(&self) -> Info {
        Info { name: "close connections when leaving", kind: Kind::Response }
    }

    async fn on_response<'r>(&self, req: &'r Request<'_>, res: &mut Response<'r>) {
        let is_leaving = req.rocket().state::<Front>().is_some_and(|f| f.phase() == Phase::Leaving);
        if is_leaving {
            res.set_header(Header::new("Connection", "close"));
        }
    }
}
