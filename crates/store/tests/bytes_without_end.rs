//! Calls to a store that sends bytes without end.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use endivevale_cases::cases;
use endivevale_standin::endless_peer::EndlessPeer;
use endivevale_store::{ObjectStoreClient, StoreClient};
use reqwest::Method;
use tokio::{runtime::Runtime, time::Instant};

/// What the store can send before a call ends: the largest listing and what the
/// sockets hold.
const MAX_SENT_BYTES: u64 = 48 * 1024 * 1024;

/// The time that the calls may take. A call that reads on fails by it.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

cases! {
    // Guards against a process that runs out of memory: the body of a reply was
    // read whole, whatever its size, until the call timed out.
    fn reply_without_end_ends_the_call(first: &'static str, repeated: &'static str) {
        Runtime::new().unwrap().block_on(async {
            let store = EndlessPeer::start(first.as_bytes(), repeated.as_bytes()).await.unwrap();
            let url = format!("http://{}", store.addr());
            let client = StoreClient::new(&url);
            let started = Instant::now();
            let reply = client.send(client.request(Method::GET, "/x"), CALL_TIMEOUT).await;
            assert!(reply.is_err(), "{reply:?}");
            let listing = ObjectStoreClient::new(&url).get_listing().await;
            assert!(listing.is_err());
            assert!(started.elapsed() < CALL_TIMEOUT, "{:?}", started.elapsed());
            assert!(store.sent_bytes() < MAX_SENT_BYTES, "{}", store.sent_bytes());
        });
    }
    body_until_close => ("HTTP/1.1 200 OK\r\n\r\n", "good"),
    body_of_a_huge_length => ("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", "good"),
    chunks => ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\ngood\r\n"),
    header_lines => ("HTTP/1.1 200 OK\r\n", "x-a: bbbbbbbbbbbbbbbb\r\n"),
    status_line => ("HTTP/1.1 200 ", "bbbbbbbbbbbbbbbb"),
    trailers => (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-a: bbbbbbbbbbbbbbbb\r\n"
    ),
}
