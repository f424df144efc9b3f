//! Tests of exchanges with searchers that break off within a reply, or send
//! bytes without end.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use endivevale_cases::cases;
use endivevale_searcher::http1_connection::{self, HttpExchangeError};
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
    let connection = http1_connection::connect(addr, Instant::now() + DEADLINE).await.unwrap();
    let req = Request::get("/x").header("host", "h").body(Full::default()).unwrap();
    http1_connection::exchange(connection, req).await.map(|(reply, _)| reply)
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
