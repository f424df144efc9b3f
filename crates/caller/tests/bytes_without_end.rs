//! Callers that send requests without end.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use endivevale_caller::forward_server::{ForwardHandler, ForwardServer};
use endivevale_cases::cases;
use endivevale_core::{
    byte_budget::MAX_REQUEST_BYTES_HELD, intent::CallerLimits, lifecycle::InstanceLifecycle,
};
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    runtime::Runtime,
    time::{Instant, sleep, timeout},
};

/// The largest request body, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// What a caller can send before its connection ends: the largest request and
/// what the sockets hold at most.
const MAX_SENT_BYTES: usize = MAX_BODY_BYTES + 64 * 1024 * 1024;

struct EchoesLength;

impl ForwardHandler for EchoesLength {
    async fn handle(&self, req: Request<Bytes>, _: Instant) -> Response<Full<Bytes>> {
        Response::new(Full::from(format!("received {}", req.body().len())))
    }

    fn limits(&self) -> CallerLimits {
        let idle_timeout = Duration::from_secs(2);
        CallerLimits { max_body_bytes: MAX_BODY_BYTES, idle_timeout, ..CallerLimits::default() }
    }
}

async fn start() -> ForwardServer {
    let phase = InstanceLifecycle::starting().serve().phase_handle();
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    ForwardServer::listen(addr, Arc::new(EchoesLength), phase).await.unwrap()
}

/// Sends `first`, and `repeated` until the connection ends. Returns the number of
/// bytes sent.
async fn send_without_end(server: &ForwardServer, first: &str, repeated: &str) -> usize {
    let mut stream = TcpStream::connect(server.addr()).await.unwrap();
    let block = repeated.repeat(1024);
    let mut sent = 0;
    let mut written = stream.write_all(first.as_bytes()).await;
    while written.is_ok() && sent < MAX_SENT_BYTES {
        sent += block.len();
        written = stream.write_all(block.as_bytes()).await;
    }
    sent
}

cases! {
    fn request_without_end_ends_the_connection(first: &'static str, repeated: &'static str) {
        Runtime::new().unwrap().block_on(async {
            let server = start().await;
            let sending = send_without_end(&server, first, repeated);
            let sent = timeout(Duration::from_secs(10), sending).await.unwrap();
            assert!(sent < MAX_SENT_BYTES, "{sent}");
        });
    }
    request_line => ("GET /", "xxxxxxxxxxxxxxxx"),
    header_lines => ("GET / HTTP/1.1\r\n", "x-a: bbbbbbbbbbbbbbbb\r\n"),
    one_header_value => ("GET / HTTP/1.1\r\nx-a: ", "bbbbbbbbbbbbbbbb"),
    body_of_a_huge_length => (
        "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 99999999999\r\n\r\n", "good"
    ),
    chunks => (
        "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\ngood\r\n"
    ),
    chunk_extension => (
        "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n4;", "xxxxxxxxxxxxxxxx"
    ),
    trailers => (
        "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "x-a: bbbbbbbbbbbbbbbb\r\n"
    ),
}

/// Sends the head and all but the last byte of a request with a body of
/// [`MAX_BODY_BYTES`].
async fn send_all_but_one_byte(server: &ForwardServer) -> TcpStream {
    let mut stream = TcpStream::connect(server.addr()).await.unwrap();
    let head = format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n");
    let bytes = [head.into_bytes(), vec![b'x'; MAX_BODY_BYTES - 1]].concat();
    // An error means that the server has closed the connection.
    drop(stream.write_all(&bytes).await);
    stream
}

async fn read_response(stream: &mut TcpStream) -> String {
    let mut response = String::new();
    // A reset after the response is an error here.
    drop(timeout(Duration::from_secs(3), stream.read_to_string(&mut response)).await);
    response
}

// Guards against a process that runs out of memory: each body had a limit of its
// own, but nothing bounded what the bodies of all connections held together.
#[test]
fn bodies_of_all_connections_share_a_budget() {
    Runtime::new().unwrap().block_on(async {
        let server = start().await;
        let fitting = MAX_REQUEST_BYTES_HELD / MAX_BODY_BYTES;
        let mut open = vec![];
        for _ in 0..fitting {
            open.push(send_all_but_one_byte(&server).await);
        }
        sleep(Duration::from_millis(300)).await;
        let mut rejected = 0;
        for _ in 0..4 {
            let mut stream = send_all_but_one_byte(&server).await;
            let response = read_response(&mut stream).await;
            rejected += u32::from(response.starts_with("HTTP/1.1 503"));
        }
        assert!(rejected >= 1);
        // Requests of usual size are served all the same.
        let mut stream = TcpStream::connect(server.addr()).await.unwrap();
        let request =
            b"POST / HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(request).await.unwrap();
        assert!(read_response(&mut stream).await.ends_with("received 2"));
    });
}

// Holds no bytes, but the connection: the size of a chunk with zeros without end.
#[test]
fn chunk_size_without_end_ends_the_connection() {
    Runtime::new().unwrap().block_on(async {
        let server = start().await;
        let mut stream = TcpStream::connect(server.addr()).await.unwrap();
        let head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let sending = async {
            while stream.write_all(b"0000000000000000").await.is_ok() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        assert!(timeout(Duration::from_secs(30), sending).await.is_ok());
    });
}

// Guards against a request that holds its bytes for ever: the body had no time
// limit.
#[tokio::test(start_paused = true)]
async fn body_that_does_not_come_is_answered_in_time() {
    let server = start().await;
    let mut stream = TcpStream::connect(server.addr()).await.unwrap();
    stream.write_all(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nx").await.unwrap();
    let mut response = String::new();
    // Without a time limit on the body, this one passes first.
    let read = timeout(Duration::from_secs(300), stream.read_to_string(&mut response)).await;
    read.unwrap().unwrap();
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
}
