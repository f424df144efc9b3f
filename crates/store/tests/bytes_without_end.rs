//! Calls to a store that sends bytes without end.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use endivevale_cases::cases;
use endivevale_standin::endless_peer::{EndlessPeer, MAX_SOCKET_BYTES};
use endivevale_store::{ObjectStoreClient, StoreClient};
use reqwest::Method;
use tokio::{runtime::Runtime, time::timeout};

/// What the store can send before both calls end: the largest reply (4 MiB), the
/// largest listing (32 MiB), and what the sockets of two connections hold.
const MAX_SENT_BYTES: u64 = (4 + 32) * 1024 * 1024 + 2 * MAX_SOCKET_BYTES;

/// The timeout of the first call; the second one has its own. Chunks of a few bytes
/// take more time than a call has, so these end by it.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The time in which both calls must end.
const BOUND: Duration = Duration::from_secs(20);

cases! {
    // Guards against a process that runs out of memory: the body of a reply was
    // read whole, whatever its size, until the call timed out.
    fn reply_without_end_ends_the_call(first: &'static str, repeated: &'static str) {
        Runtime::new().unwrap().block_on(async {
            let store = EndlessPeer::start(first.as_bytes(), repeated.as_bytes()).await.unwrap();
            let url = format!("http://{}", store.addr());
            let client = StoreClient::new(&url);
            let calls = async {
                let reply = client.send(client.request(Method::GET, "/x"), CALL_TIMEOUT).await;
                let listing = ObjectStoreClient::new(&url).get_listing().await;
                (reply, listing)
            };
            let (reply, listing) = timeout(BOUND, calls).await.unwrap();
            assert!(reply.is_err() && listing.is_err(), "{reply:?}");
            assert!(store.sent_bytes() < MAX_SENT_BYTES, "{}", store.sent_bytes());
        });
    }
    body_until_close => ("HTTP/1.1 200 OK\r\n\r\n", "good"),
    body_of_a_huge_length => ("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", "good"),
    chunks => ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\ngood\r\n"),
    chunks_of_some_bytes => (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "40\r\ngoodgoodgoodgoodgoodgoodgoodgoodgoodgoodgoodgoodgoodgoodgoodgood\r\n"
    ),
    header_lines => ("HTTP/1.1 200 OK\r\n", "x-a: bbbbbbbbbbbbbbbb\r\n"),
    status_line => ("HTTP/1.1 200 ", "bbbbbbbbbbbbbbbb"),
    trailers => (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-a: bbbbbbbbbbbbbbbb\r\n"
    ),
}
