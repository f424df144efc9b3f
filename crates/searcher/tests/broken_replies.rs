//! Tests of exchanges with searchers that break off within a reply, or send
//! bytes without end.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use endivevale_cases::cases;
use endivevale_core::byte_budget::{ByteBudget, FREE_BYTES};
use endivevale_searcher::http1_connection::{self, HttpExchangeError};
use endivevale_standin::endless_peer::EndlessPeer;
use futures::future::join_all;
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    runtime::Runtime,
    time::{Instant, timeout},
};

/// The time within which an exchange must end.
const DEADLINE: Duration = Duration::from_secs(5);

/// Starts a searcher that reads a request, writes `first`, then `repeated` until
/// the connection closes, and closes it at once if that is empty.
async fn start_searcher(first: Vec<u8>, repeated: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        assert!(stream.read(&mut buf).await.unwrap() > 0);
        stream.write_all(&first).await.unwrap();
        let block = repeated.repeat(4096);
        while !block.is_empty() && stream.write_all(&block).await.is_ok() {}
    });
    addr
}

async fn exchange(addr: SocketAddr) -> Result<Response<Bytes>, HttpExchangeError> {
    exchange_within(addr, &ByteBudget::new(usize::MAX)).await
}

async fn exchange_within(
    addr: SocketAddr,
    budget: &ByteBudget,
) -> Result<Response<Bytes>, HttpExchangeError> {
    let connection = http1_connection::connect(addr, Instant::now() + DEADLINE).await.unwrap();
    let req = Request::get("/x").header("host", "h").body(Full::default()).unwrap();
    http1_connection::exchange(connection, req, budget).await.map(|(reply, _)| reply)
}

cases! {
    // Guards against a success with a short body: a searcher stopped in the
    // middle of its head and closed.
    fn head_that_breaks_off_is_no_reply(head: &'static str) {
        Runtime::new().unwrap().block_on(async {
            for cut in 0..head.len() {
                let addr = start_searcher(head.as_bytes()[..cut].to_vec(), b"").await;
                let result = timeout(DEADLINE, exchange(addr)).await.unwrap();
                assert!(result.is_err(), "cut after {cut} bytes: {result:?}");
            }
        });
    }
    with_a_length => ("HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 12\r\n\r\n"),
    without_a_length => ("HTTP/1.1 200 OK\r\nx-a: b\r\nx-request-id: 9\r\n\r\n"),
    chunked => ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-a: b\r\n\r\n"),
}

cases! {
    fn bytes_without_end_end_the_exchange(first: &'static str, repeated: &'static str) {
        Runtime::new().unwrap().block_on(async {
            let addr = start_searcher(first.into(), repeated.as_bytes()).await;
            let result = timeout(DEADLINE, exchange(addr)).await.unwrap();
            assert!(result.is_err(), "{result:?}");
        });
    }
    header_lines => ("HTTP/1.1 200 OK\r\n", "x-a: bbbbbbbbbbbbbbbb\r\n"),
    one_header_value => ("HTTP/1.1 200 OK\r\nx-a: ", "bbbbbbbbbbbbbbbb"),
    status_line => ("HTTP/1.1 200 ", "bbbbbbbbbbbbbbbb"),
    interim_replies => ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    chunks => ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\ngood\r\n"),
    body_until_close => ("HTTP/1.1 200 OK\r\n\r\n", "good"),
    body_of_a_huge_length => ("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", "good"),
    trailers => (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-a: bbbbbbbbbbbbbbbb\r\n"
    ),
}

/// The budget of the tests of many exchanges, in bytes.
const BUDGET: usize = 1024 * 1024;

// Guards against a process that runs out of memory: each reply had a limit of its
// own, but nothing bounded what the replies of all connections held together.
#[test]
fn replies_of_all_connections_share_a_budget() {
    Runtime::new().unwrap().block_on(async {
        let budget = ByteBudget::new(BUDGET);
        let endless = EndlessPeer::start(b"HTTP/1.1 200 OK\r\n\r\n", b"good").await.unwrap();
        let exchanges = (0..30).map(|_| exchange_within(endless.addr(), &budget));
        let results = timeout(DEADLINE, join_all(exchanges)).await.unwrap();
        let is_exhausted = |r: &Result<_, _>| matches!(r, Err(HttpExchangeError::BudgetExhausted));
        assert!(results.iter().all(is_exhausted), "{results:?}");
        assert_eq!(budget.left(), BUDGET);
    });
}

// The searchers that are sound must not be affected by those that are not.
#[test]
fn reply_of_usual_size_needs_no_budget() {
    Runtime::new().unwrap().block_on(async {
        let exhausted = ByteBudget::new(0);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {FREE_BYTES}\r\n\r\n");
        let reply = [head.into_bytes(), vec![b'x'; FREE_BYTES]].concat();
        let addr = start_searcher(reply, b"").await;
        let reply = exchange_within(addr, &exhausted).await.unwrap();
        assert_eq!(reply.body().len(), FREE_BYTES);
    });
}

#[test]
fn reply_holds_its_bytes_until_it_is_dropped() {
    Runtime::new().unwrap().block_on(async {
        let budget = ByteBudget::new(BUDGET);
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n";
        let addr = start_searcher([head.as_bytes(), &[b'x'; 100_000]].concat(), b"").await;
        let reply = exchange_within(addr, &budget).await.unwrap();
        let part = reply.body().slice(..10);
        drop(reply);
        assert_eq!(budget.left(), BUDGET - (100_000 - FREE_BYTES));
        drop(part);
        assert_eq!(budget.left(), BUDGET);
    });
}
