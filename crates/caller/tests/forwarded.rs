//! The front of forwarded requests: callers that leave, limits, and the
//! planned stop.

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
use endivevale_caller::forwarded::{ForwardedFront, Handler};
use endivevale_core::{intent::CallerLimits, lifecycle::InstanceLifecycle};
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Answers `done` after a while, and counts answers that were cancelled.
#[derive(Default)]
struct Slow {
    span: Duration,
    begun: AtomicU32,
    cancelled: AtomicU32,
}

struct Cancelled<'a>(&'a AtomicU32, bool);

impl Drop for Cancelled<'_> {
    fn drop(&mut self) {
        if !self.1 {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
    }
}

impl Handler for Slow {
    async fn handle(&self, req: Request<Bytes>, _: Instant) -> Response<Full<Bytes>> {
        self.begun.fetch_add(1, Ordering::SeqCst);
        let mut guard = Cancelled(&self.cancelled, false);
        sleep(self.span).await;
        guard.1 = true;
        Response::new(Full::from(format!("done {}", req.body().len())))
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits { max_body_bytes: 10, ..CallerLimits::default() }
    }
}

struct Running {
    front: ForwardedFront,
    handler: Arc<Slow>,
}

async fn start(span: Duration) -> Running {
    let handler = Arc::new(Slow { span, ..Slow::default() });
    let phase = InstanceLifecycle::starting().serve().phase_handle();
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let front = ForwardedFront::listen(addr, Arc::clone(&handler), phase).await.unwrap();
    Running { front, handler }
}

const GET: &[u8] = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n";

async fn send(running: &Running, text: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(running.front.addr()).await.unwrap();
    stream.write_all(text).await.unwrap();
    stream
}

async fn read(stream: &mut TcpStream) -> String {
    let mut buf = vec![0; 4096];
    let n = timeout(Duration::from_secs(3), stream.read(&mut buf)).await.unwrap().unwrap();
    String::from_utf8(buf[..n].to_vec()).unwrap()
}

async fn until(condition: impl Fn() -> bool) {
    for _ in 0..300 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("it did not come to that within 3 s");
}

#[tokio::test]
async fn work_for_a_caller_that_hangs_up_ends() {
    let running = start(Duration::from_secs(60)).await;
    let stream = send(&running, GET).await;
    let handler = Arc::clone(&running.handler);
    until(|| handler.begun.load(Ordering::SeqCst) == 1).await;
    drop(stream);
    until(|| handler.cancelled.load(Ordering::SeqCst) == 1).await;
}

/// Pattern: a process with little of a core reads a request only after its
/// caller has given up, as in a burst.
#[tokio::test]
async fn a_request_whose_caller_has_hung_up_already_is_not_begun() {
    let running = start(Duration::ZERO).await;
    // The runtime of the test has one thread, so nothing is read meanwhile.
    let mut stream = std::net::TcpStream::connect(running.front.addr()).unwrap();
    std::io::Write::write_all(&mut stream, GET).unwrap();
    drop(stream);
    let in_flight = Arc::clone(running.front.in_flight());
    sleep(Duration::from_millis(100)).await;
    timeout(Duration::from_secs(3), in_flight.idle()).await.unwrap();
    assert_eq!(running.handler.begun.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn a_connection_carries_one_request_after_the_other() {
    let running = start(Duration::ZERO).await;
    let mut stream = send(&running, GET).await;
    assert!(read(&mut stream).await.ends_with("done 0"));
    stream.write_all(GET).await.unwrap();
    assert!(read(&mut stream).await.ends_with("done 0"));
}

#[tokio::test]
async fn bodies_come_whole_with_a_length_or_in_chunks() {
    let running = start(Duration::ZERO).await;
    let post = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody";
    assert!(read(&mut send(&running, post).await).await.ends_with("done 4"));
    let chunks =
        b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n3\r\nbod\r\n2\r\nie\r\n0\r\n\r\n";
    assert!(read(&mut send(&running, chunks).await).await.ends_with("done 5"));
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_before_anyone_works_on_it() {
    let running = start(Duration::ZERO).await;
    let post = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 11\r\n\r\n12345678901";
    assert!(read(&mut send(&running, post).await).await.starts_with("HTTP/1.1 413"));
    assert_eq!(running.handler.begun.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn a_stop_ends_idle_connections_and_finishes_the_answers_that_are_due() {
    let running = start(Duration::from_millis(300)).await;
    let mut idle = send(&running, GET).await;
    read(&mut idle).await;
    let mut busy = send(&running, GET).await;
    let handler = Arc::clone(&running.handler);
    until(|| handler.begun.load(Ordering::SeqCst) == 2).await;
    running.front.close();
    assert_eq!(read(&mut idle).await, "");
    assert!(read(&mut busy).await.ends_with("done 0"));
    timeout(Duration::from_secs(2), running.front.in_flight().idle()).await.unwrap();
    assert_eq!(handler.cancelled.load(Ordering::SeqCst), 0);
}

/// Pattern: a caller connects at the moment in which the front stops to
/// accept. Once nothing is open, the process ends; nothing may begin then.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_begins_after_the_last_connection_has_ended() {
    for round in 0..150 {
        let running = start(Duration::ZERO).await;
        let addr = running.front.addr();
        let caller = std::thread::spawn(move || {
            let Ok(mut stream) = std::net::TcpStream::connect(addr) else { return };
            // The front may have gone; that is what the test is about.
            drop(std::io::Write::write_all(&mut stream, GET));
            drop(std::io::Read::read(&mut stream, &mut [0; 256]));
        });
        sleep(Duration::from_micros(2 * round)).await;
        running.front.close();
        running.front.ended().await;
        let begun = running.handler.begun.load(Ordering::SeqCst);
        sleep(Duration::from_millis(2)).await;
        assert_eq!(running.handler.begun.load(Ordering::SeqCst), begun);
        drop(running);
        caller.join().unwrap();
    }
}
