//! Tests of the server for forwarded requests: disconnecting callers,
//! limits, and graceful shutdown.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use endivevale_caller::forward_server::{ForwardHandler, ForwardServer};
use endivevale_core::{intent::CallerLimits, lifecycle::InstanceLifecycle};
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Responds with `done` and the body length after a delay, and counts the
/// requests that were started and those that were cancelled.
#[derive(Default)]
struct DelayedHandler {
    delay: Duration,
    started: AtomicU32,
    cancelled: AtomicU32,
}

/// Counts a cancellation on drop unless its flag has been set.
struct CancelGuard<'a>(&'a AtomicU32, bool);

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if !self.1 {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
    }
}

impl ForwardHandler for DelayedHandler {
    async fn handle(&self, req: Request<Bytes>, _: Instant) -> Response<Full<Bytes>> {
        self.started.fetch_add(1, Ordering::SeqCst);
        let mut guard = CancelGuard(&self.cancelled, false);
        sleep(self.delay).await;
        guard.1 = true;
        Response::new(Full::from(format!("done {}", req.body().len())))
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits { max_body_bytes: 10, ..CallerLimits::default() }
    }
}

struct TestServer {
    forward_server: ForwardServer,
    handler: Arc<DelayedHandler>,
}

async fn start(delay: Duration) -> TestServer {
    let handler = Arc::new(DelayedHandler { delay, ..DelayedHandler::default() });
    let phase = InstanceLifecycle::starting().serve().phase_handle();
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let forward_server = ForwardServer::listen(addr, Arc::clone(&handler), phase).await.unwrap();
    TestServer { forward_server, handler }
}

const GET_REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n";

async fn connect_and_send(server: &TestServer, text: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(server.forward_server.addr()).await.unwrap();
    stream.write_all(text).await.unwrap();
    stream
}

async fn read_response(stream: &mut TcpStream) -> String {
    let mut buf = vec![0; 4096];
    let n = timeout(Duration::from_secs(3), stream.read(&mut buf)).await.unwrap().unwrap();
    String::from_utf8(buf[..n].to_vec()).unwrap()
}

async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..300 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("condition not met within 3 s");
}

#[tokio::test]
async fn caller_disconnect_cancels_its_request() {
    let server = start(Duration::from_secs(60)).await;
    let stream = connect_and_send(&server, GET_REQUEST).await;
    let handler = Arc::clone(&server.handler);
    wait_until(|| handler.started.load(Ordering::SeqCst) == 1).await;
    drop(stream);
    wait_until(|| handler.cancelled.load(Ordering::SeqCst) == 1).await;
}

/// Guards against work for a caller that has disconnected before its request
/// was read. This happens in a burst, when the process gets too little CPU time
/// to read requests promptly.
#[tokio::test]
async fn request_read_after_its_caller_disconnected_is_not_handled() {
    let server = start(Duration::ZERO).await;
    // The test runtime has one thread and this code does not yield, so the
    // server reads nothing before the connection is closed.
    let mut stream = std::net::TcpStream::connect(server.forward_server.addr()).unwrap();
    std::io::Write::write_all(&mut stream, GET_REQUEST).unwrap();
    drop(stream);
    let open_connections = Arc::clone(server.forward_server.open_connections());
    sleep(Duration::from_millis(100)).await;
    timeout(Duration::from_secs(3), open_connections.wait_idle()).await.unwrap();
    assert_eq!(server.handler.started.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn connection_is_reused_for_a_second_request() {
    let server = start(Duration::ZERO).await;
    let mut stream = connect_and_send(&server, GET_REQUEST).await;
    assert!(read_response(&mut stream).await.ends_with("done 0"));
    stream.write_all(GET_REQUEST).await.unwrap();
    assert!(read_response(&mut stream).await.ends_with("done 0"));
}

#[tokio::test]
async fn bodies_with_content_length_or_chunked_are_read_completely() {
    let server = start(Duration::ZERO).await;
    let post = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody";
    assert!(read_response(&mut connect_and_send(&server, post).await).await.ends_with("done 4"));
    let chunked =
        b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n3\r\nbod\r\n2\r\nie\r\n0\r\n\r\n";
    assert!(read_response(&mut connect_and_send(&server, chunked).await).await.ends_with("done 5"));
}

#[tokio::test]
async fn body_over_the_limit_gets_413_without_being_handled() {
    let server = start(Duration::ZERO).await;
    let post = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 11\r\n\r\n12345678901";
    assert!(
        read_response(&mut connect_and_send(&server, post).await).await.starts_with("HTTP/1.1 413")
    );
    assert_eq!(server.handler.started.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn close_ends_idle_connections_and_completes_pending_responses() {
    let server = start(Duration::from_millis(300)).await;
    let mut idle = connect_and_send(&server, GET_REQUEST).await;
    read_response(&mut idle).await;
    let mut busy = connect_and_send(&server, GET_REQUEST).await;
    let handler = Arc::clone(&server.handler);
    wait_until(|| handler.started.load(Ordering::SeqCst) == 2).await;
    server.forward_server.close();
    assert_eq!(read_response(&mut idle).await, "");
    assert!(read_response(&mut busy).await.ends_with("done 0"));
    timeout(Duration::from_secs(2), server.forward_server.open_connections().wait_idle())
        .await
        .unwrap();
    assert_eq!(handler.cancelled.load(Ordering::SeqCst), 0);
}

/// Guards against a race in which a caller connects just as the server stops
/// accepting. The process exits once no connection is open, so no handler may
/// start after that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_handler_starts_after_the_last_connection_has_closed() {
    for round in 0..150 {
        let server = start(Duration::ZERO).await;
        let addr = server.forward_server.addr();
        let caller = std::thread::spawn(move || {
            let Ok(mut stream) = std::net::TcpStream::connect(addr) else { return };
            // Errors are expected: the server may already have closed.
            drop(std::io::Write::write_all(&mut stream, GET_REQUEST));
            drop(std::io::Read::read(&mut stream, &mut [0; 256]));
        });
        sleep(Duration::from_micros(2 * round)).await;
        server.forward_server.close();
        server.forward_server.wait_closed().await;
        let started = server.handler.started.load(Ordering::SeqCst);
        sleep(Duration::from_millis(2)).await;
        assert_eq!(server.handler.started.load(Ordering::SeqCst), started);
        drop(server);
        caller.join().unwrap();
    }
}
