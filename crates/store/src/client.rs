//! HTTP clients of the store.
//!
//! # Example
//!
//! See the [crate documentation](crate).

use std::{fmt, time::Duration};

use bytes::Bytes;
use endivevale_core::{layout::Listing, rate_limiter::RateLimiter};
use http_body_util::{BodyExt, Limited};
use reqwest::{
    Body, Client, Method, RequestBuilder, Response, StatusCode,
    header::{ETAG, HeaderMap, IF_MATCH, IF_NONE_MATCH},
    redirect, retry,
};
use tokio::time::timeout;

use crate::listing_document::ListingDocument;

/// Maximum size of an object in the store, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1_000_000;

/// Maximum size of the body of a reply, in bytes. A page of objects has about
/// 1 MB.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of the listing of searchers and instances, in bytes.
const MAX_LISTING_BYTES: usize = 32 * 1024 * 1024;

/// Timeout of a call. A watch adds the time that it waits for a new version.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum rate of calls of one client, per second.
const CALLS_PER_SECOND: f64 = 50.0;

/// Maximum number of calls of one client in a burst.
const CALL_BURST: f64 = 100.0;

/// An object in the store, with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The version, which increases with each write.
    pub version: u64,
    /// The content.
    pub body: Bytes,
}

/// Precondition of a write. The write has no effect unless it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// No object of this kind and name exists.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Cause of a failed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The precondition did not hold. Contains the current version, if the store
    /// returned it.
    Conflict(Option<u64>),
    /// The object is larger than [`MAX_OBJECT_BYTES`].
    TooLarge,
    /// The call was not made because the local budget of calls is exhausted.
    BudgetExhausted,
    /// The store rejected the call with this HTTP status. The call had no
    /// effect.
    Rejected(u16),
    /// No valid reply was received, or the store reported a failure of its own.
    /// A write may have taken effect.
    NoReply(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Conflict(Some(v)) => write!(f, "the object is at version {v}"),
            StoreError::Conflict(None) => f.write_str("the object is at another version"),
            StoreError::TooLarge => {
                write!(f, "the value is over {MAX_OBJECT_BYTES} bytes")
            }
            StoreError::BudgetExhausted => f.write_str("the budget of calls is spent"),
            StoreError::Rejected(status) => write!(f, "the platform refused with {status}"),
            StoreError::NoReply(reason) => write!(f, "no reply from the platform: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// An HTTP client of the store with a local budget of calls.
#[derive(Debug)]
pub struct StoreClient {
    client: Client,
    base_url: String,
    budget: RateLimiter,
    /// Maximum size of the body of a reply, in bytes.
    max_reply_bytes: usize,
}

impl StoreClient {
    /// Creates a client of the store with this base URL, such as
    /// `http://127.0.0.1:7000`.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client cannot be created.
    #[must_use]
    pub fn new(base_url: &str) -> Self {
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
            .expect("an HTTP client without TLS needs no external resources");
        Self {
            client,
            base_url: base_url.trim_end_matches('/').to_owned(),
            budget: RateLimiter::new(CALLS_PER_SECOND, Duration::from_secs(1), CALL_BURST),
            max_reply_bytes: MAX_REPLY_BYTES,
        }
    }

    /// Accepts replies with bodies up to this size, in bytes.
    #[must_use]
    fn with_max_reply_bytes(self, max_reply_bytes: usize) -> Self {
        Self { max_reply_bytes, ..self }
    }

    /// Creates a request builder for a path, which may include a query string.
    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.client.request(method, format!("{}{path}", self.base_url))
    }

    /// Sends a request and reads the reply, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::BudgetExhausted`] if the request was not sent
    /// because the budget is exhausted, and [`StoreError::NoReply`] if no
    /// complete reply was received within `call_timeout`.
    pub async fn send(
        &self,
        request: RequestBuilder,
        call_timeout: Duration,
    ) -> Result<StoreReply, StoreError> {
        if !self.budget.try_acquire() {
            return Err(StoreError::BudgetExhausted);
        }
        let exchange = async {
            let response = request.send().await.map_err(|e| e.without_url().to_string())?;
            StoreReply::read(response, self.max_reply_bytes).await
        };
        match timeout(call_timeout, exchange).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(reason)) => Err(StoreError::NoReply(reason)),
            Err(_) => Err(StoreError::NoReply("timed out".to_owned())),
        }
    }
}

/// A client of the object API of the store.
#[derive(Debug)]
pub struct ObjectStoreClient {
    http: StoreClient,
}

impl ObjectStoreClient {
    /// Creates a client of the store with this base URL, such as
    /// `http://127.0.0.1:7000`.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client cannot be created.
    #[must_use]
    pub fn new(base_url: &str) -> Self {
        Self { http: StoreClient::new(base_url).with_max_reply_bytes(MAX_LISTING_BYTES) }
    }

    fn object_request(&self, method: Method, kind: &str, name: &str) -> RequestBuilder {
        self.http.request(method, &format!("/v1/objects/{kind}/{name}"))
    }

    /// Reads an object. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let reply =
            self.http.send(self.object_request(Method::GET, kind, name), CALL_TIMEOUT).await?;
        reply.into_object()
    }

    /// Waits up to `wait` for a version of an object that is higher than
    /// `after`. Returns `None` if there is none by then.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
    pub async fn watch(
        &self,
        kind: &str,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Object>, StoreError> {
        let query = format!("?after={after}&wait_ms={}", wait.as_millis());
        let request = self.object_request(Method::GET, kind, &format!("{name}{query}"));
        self.http.send(request, wait + CALL_TIMEOUT).await?.into_object()
    }

    /// Writes an object if the precondition holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if the precondition does not hold,
    /// [`StoreError::TooLarge`] if the object is too large,
    /// [`StoreError::NoReply`] if the write may have taken effect, and any
    /// other [`StoreError`] if it had no effect.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        body: Bytes,
        precondition: Precondition,
    ) -> Result<u64, StoreError> {
        if body.len() > MAX_OBJECT_BYTES {
            return Err(StoreError::TooLarge);
        }
        let request = self.object_request(Method::PUT, kind, name).body(body);
        let request = match precondition {
            Precondition::Absent => request.header(IF_NONE_MATCH, "*"),
            Precondition::Version(version) => request.header(IF_MATCH, format!("\"{version}\"")),
        };
        let reply = self.http.send(request, CALL_TIMEOUT).await?;
        match (reply.status, reply.version) {
            (StatusCode::OK | StatusCode::CREATED, Some(version)) => Ok(version),
            _ => Err(reply.to_error()),
        }
    }

    /// Deletes an object if it has this version. Succeeds if the object does not
    /// exist.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if the object has another version,
    /// [`StoreError::NoReply`] if the deletion may have taken effect, and any
    /// other [`StoreError`] if it had no effect.
    pub async fn delete(&self, kind: &str, name: &str, version: u64) -> Result<(), StoreError> {
        let request = self.object_request(Method::DELETE, kind, name);
        let request = request.header(IF_MATCH, format!("\"{version}\""));
        let reply = self.http.send(request, CALL_TIMEOUT).await?;
        match reply.status {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            _ => Err(reply.to_error()),
        }
    }

    /// Reads the listing of searchers and instances.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
    pub async fn get_listing(&self) -> Result<Listing, StoreError> {
        let request = self.http.request(Method::GET, "/v1/instances");
        let reply = self.http.send(request, CALL_TIMEOUT).await?;
        if reply.status != StatusCode::OK {
            return Err(reply.to_error());
        }
        let document: Result<ListingDocument, _> = serde_json::from_slice(&reply.body);
        document.map(Listing::from).map_err(|e| StoreError::NoReply(e.to_string()))
    }
}

/// A complete HTTP reply of the store.
#[derive(Debug, Clone)]
pub struct StoreReply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The version of the object, from the `ETag` header.
    version: Option<u64>,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl StoreReply {
    /// Reads a reply with a body of at most `max_bytes` bytes. Returns why it could
    /// not be read otherwise.
    async fn read(response: Response, max_bytes: usize) -> Result<Self, String> {
        let (status, version) = (response.status(), version_from_etag(response.headers()));
        let headers = response.headers().clone();
        let body = Limited::new(Body::from(response), max_bytes).collect().await;
        let body = body.map_err(|e| format!("the body was not read to its end: {e}"))?;
        Ok(Self { status, version, headers, body: body.to_bytes() })
    }

    fn into_object(self) -> Result<Option<Object>, StoreError> {
        match (self.status, self.version) {
            (StatusCode::OK, Some(version)) => Ok(Some(Object { version, body: self.body })),
            (StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED, _) => Ok(None),
            _ => Err(self.to_error()),
        }
    }

    /// Returns the error for a reply whose status is not a success.
    #[must_use]
    pub fn to_error(&self) -> StoreError {
        match self.status {
            StatusCode::PRECONDITION_FAILED => StoreError::Conflict(self.version),
            StatusCode::PAYLOAD_TOO_LARGE => StoreError::TooLarge,
            StatusCode::TOO_MANY_REQUESTS => StoreError::Rejected(self.status.as_u16()),
            status if status.is_client_error() => StoreError::Rejected(status.as_u16()),
            // With a server error, a write may have taken effect.
            status => StoreError::NoReply(status.to_string()),
        }
    }
}

/// Returns the version in the `ETag` header, or `None` if it is missing or not a
/// number.
fn version_from_etag(headers: &HeaderMap) -> Option<u64> {
    headers.get(ETAG)?.to_str().ok()?.trim_matches('"').parse().ok()
}
