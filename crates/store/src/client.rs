//! Calls to the object API.
//!
//! # Example
//!
//! See the [`crate`] itself.

use std::{fmt, time::Duration};

use bytes::Bytes;
use endivevale_core::{layout::Listing, rate_limiter::RateLimiter};
use reqwest::{
    Client, Method, RequestBuilder, Response, StatusCode,
    header::{ETAG, HeaderMap, IF_MATCH, IF_NONE_MATCH},
    redirect, retry,
};
use tokio::time::timeout;

/// The largest object that the platform holds, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1_000_000;

/// How long one call may take, over the time that a watch waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Calls a second that one instance may make.
const CALLS_PER_SECOND: f64 = 50.0;

/// Calls that one instance may make in a burst.
const CALL_BURST: f64 = 100.0;

/// An object with the version that the platform gave it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Grows with each write.
    pub version: u64,
    /// The value.
    pub body: Bytes,
}

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// There is no object of this name.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// The condition did not hold. The current version, if it was told.
    Conflict(Option<u64>),
    /// The value is larger than [`MAX_OBJECT_BYTES`].
    TooLarge,
    /// The call was not made: the local budget is spent.
    OverBudget,
    /// The platform refused the call; it had no effect.
    Refused(u16),
    /// No reply came, or none that makes sense; a write may have taken
    /// effect.
    NoReply(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Conflict(Some(v)) => write!(f, "the object is at version {v}"),
            PlatformError::Conflict(None) => f.write_str("the object is at another version"),
            PlatformError::TooLarge => {
                write!(f, "the value is over {MAX_OBJECT_BYTES} bytes")
            }
            PlatformError::OverBudget => f.write_str("the budget of calls is spent"),
            PlatformError::Refused(status) => write!(f, "the platform refused with {status}"),
            PlatformError::NoReply(why) => write!(f, "no reply from the platform: {why}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// Calls a store over HTTP, within a budget of calls.
#[derive(Debug)]
pub struct StoreClient {
    client: Client,
    base: String,
    budget: RateLimiter,
}

impl StoreClient {
    /// A client of the store at this address, such as
    /// `http://127.0.0.1:7000`.
    ///
    /// # Panics
    ///
    /// Panics when the HTTP client cannot be set up.
    #[must_use]
    pub fn new(base: &str) -> Self {
        let client = Client::builder()
            .retry(retry::never())
            .redirect(redirect::Policy::none())
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_user_timeout(endivevale_socket::USER_TIMEOUT)
            .tcp_keepalive(endivevale_socket::KEEPALIVE_IDLE)
            .tcp_keepalive_interval(endivevale_socket::KEEPALIVE_INTERVAL)
            .tcp_keepalive_retries(endivevale_socket::KEEPALIVE_RETRIES)
            .build()
            .expect("an HTTP client without TLS needs nothing from outside");
        Self {
            client,
            base: base.trim_end_matches('/').to_owned(),
            budget: RateLimiter::new(CALLS_PER_SECOND, Duration::from_secs(1), CALL_BURST),
        }
    }

    /// A request for a path, which may have a query.
    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.client.request(method, format!("{}{path}", self.base))
    }

    /// Makes one call.
    ///
    /// # Errors
    ///
    /// [`PlatformError::OverBudget`] when the call was not made, and
    /// [`PlatformError::NoReply`] when it was and no whole reply came within
    /// `limit`.
    pub async fn call(
        &self,
        req: RequestBuilder,
        limit: Duration,
    ) -> Result<StoreReply, PlatformError> {
        if !self.budget.try_acquire() {
            return Err(PlatformError::OverBudget);
        }
        let exchange = async {
            let res = req.send().await?;
            StoreReply::read(res).await
        };
        match timeout(limit, exchange).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(e)) => Err(PlatformError::NoReply(e.without_url().to_string())),
            Err(_) => Err(PlatformError::NoReply("timed out".to_owned())),
        }
    }
}

/// A client of the platform.
#[derive(Debug)]
pub struct Platform {
    store: StoreClient,
}

impl Platform {
    /// A client of the platform at this address, such as
    /// `http://127.0.0.1:7000`.
    ///
    /// # Panics
    ///
    /// Panics when the HTTP client cannot be set up.
    #[must_use]
    pub fn new(base: &str) -> Self {
        Self { store: StoreClient::new(base) }
    }

    fn object(&self, method: Method, kind: &str, name: &str) -> RequestBuilder {
        self.store.request(method, &format!("/v1/objects/{kind}/{name}"))
    }

    /// Reads an object; `None` when there is none.
    ///
    /// # Errors
    ///
    /// A [`PlatformError`] when the platform does not say.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, PlatformError> {
        let reply = self.store.call(self.object(Method::GET, kind, name), CALL_TIMEOUT).await?;
        reply.into_object()
    }

    /// Waits up to `wait` for a version above `after`; `None` when none came.
    ///
    /// # Errors
    ///
    /// A [`PlatformError`] when the platform does not say.
    pub async fn watch(
        &self,
        kind: &str,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        let query = format!("?after={after}&wait_ms={}", wait.as_millis());
        let req = self.object(Method::GET, kind, &format!("{name}{query}"));
        self.store.call(req, wait + CALL_TIMEOUT).await?.into_object()
    }

    /// Writes an object if the condition holds, and returns its version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Conflict`] when the condition does not hold,
    /// [`PlatformError::TooLarge`] when the value is too large, and
    /// [`PlatformError::NoReply`] when the write may have taken effect.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        body: Bytes,
        condition: Condition,
    ) -> Result<u64, PlatformError> {
        if body.len() > MAX_OBJECT_BYTES {
            return Err(PlatformError::TooLarge);
        }
        let req = self.object(Method::PUT, kind, name).body(body);
        let req = match condition {
            Condition::Absent => req.header(IF_NONE_MATCH, "*"),
            Condition::Version(version) => req.header(IF_MATCH, format!("\"{version}\"")),
        };
        let reply = self.store.call(req, CALL_TIMEOUT).await?;
        match (reply.status, reply.version) {
            (StatusCode::OK | StatusCode::CREATED, Some(version)) => Ok(version),
            _ => Err(reply.error()),
        }
    }

    /// Deletes an object if it has this version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Conflict`] when it has another version.
    pub async fn delete(&self, kind: &str, name: &str, version: u64) -> Result<(), PlatformError> {
        let req = self.object(Method::DELETE, kind, name);
        let req = req.header(IF_MATCH, format!("\"{version}\""));
        let reply = self.store.call(req, CALL_TIMEOUT).await?;
        match reply.status {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            _ => Err(reply.error()),
        }
    }

    /// Reads the list of searchers and instances.
    ///
    /// # Errors
    ///
    /// A [`PlatformError`] when the platform does not say.
    pub async fn listing(&self) -> Result<Listing, PlatformError> {
        let req = self.store.request(Method::GET, "/v1/instances");
        let reply = self.store.call(req, CALL_TIMEOUT).await?;
        if reply.status != StatusCode::OK {
            return Err(reply.error());
        }
        serde_json::from_slice(&reply.body).map_err(|e| PlatformError::NoReply(e.to_string()))
    }
}

/// A reply that came in whole.
#[derive(Debug, Clone)]
pub struct StoreReply {
    /// The status.
    pub status: StatusCode,
    version: Option<u64>,
    /// The body, whole.
    pub body: Bytes,
}

impl StoreReply {
    async fn read(res: Response) -> Result<Self, reqwest::Error> {
        let (status, version) = (res.status(), read_version(res.headers()));
        Ok(Self { status, version, body: res.bytes().await? })
    }

    fn into_object(self) -> Result<Option<Object>, PlatformError> {
        match (self.status, self.version) {
            (StatusCode::OK, Some(version)) => Ok(Some(Object { version, body: self.body })),
            (StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED, _) => Ok(None),
            _ => Err(self.error()),
        }
    }

    /// What a reply without success says.
    #[must_use]
    pub fn error(&self) -> PlatformError {
        match self.status {
            StatusCode::PRECONDITION_FAILED => PlatformError::Conflict(self.version),
            StatusCode::PAYLOAD_TOO_LARGE => PlatformError::TooLarge,
            StatusCode::TOO_MANY_REQUESTS => PlatformError::Refused(self.status.as_u16()),
            status if status.is_client_error() => PlatformError::Refused(status.as_u16()),
            // A server's failure does not tell whether a write took effect.
            status => PlatformError::NoReply(status.to_string()),
        }
    }
}

fn read_version(headers: &HeaderMap) -> Option<u64> {
    headers.get(ETAG)?.to_str().ok()?.trim_matches('"').parse().ok()
}
