//! Exchanges on one connection with searchers that behave and that do not.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use endivevale_cases::cases;
use endivevale_core::{
    name::{SearcherName, ZoneName},
    searcher::{Searcher, SearcherKey},
};
use endivevale_searcher::{
    Links,
    link::{self, LinkError},
};
use http_body_util::Full;
use hyper::Request;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{Instant, sleep, timeout},
};

const GOOD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood";

/// A searcher that answers each request on a connection with the next text,
/// then closes the connection. Tells when a connection has ended.
async fn searcher(answers: &'static [&'static str]) -> (SocketAddr, mpsc::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel(8);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let tx = tx.clone();
            tokio::spawn(async move {
                let served = serve(stream, answers).await;
                tx.send(served).await.expect("the test listens to its end");
            });
        }
    });
    (addr, rx)
}

async fn serve(mut stream: TcpStream, answers: &[&str]) -> usize {
    let mut buf = [0; 4096];
    for (served, answer) in answers.iter().enumerate() {
        match stream.read(&mut buf).await {
            Ok(n) if n > 0 => stream.write_all(answer.as_bytes()).await.unwrap(),
            _ => return served,
        }
    }
    // A searcher without any more answers keeps the connection open.
    if answers.last().is_some_and(|last| last.is_empty()) {
        drop(stream.read(&mut buf).await);
    }
    answers.len()
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/x").header("host", "h").body(Full::default()).unwrap()
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

cases! {
    fn a_reply_is_whole_or_none(answer: &'static str, want: Option<&'static str>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let answers: &'static [&'static str] = Box::leak(Box::new([answer]));
            let (addr, _ended) = searcher(answers).await;
            let connection = link::open(addr, soon()).await.unwrap();
            match link::exchange(connection, request()).await {
                Ok((reply, _)) => assert_eq!(Some(&reply.body()[..]), want.map(str::as_bytes)),
                Err(e) => assert_eq!(None, want, "{e}"),
            }
        });
    }
    with_a_length => (GOOD, Some("good")),
    in_chunks => ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\ngo\r\n2\r\nod\r\n0\r\n\r\n", Some("good")),
    until_the_end => ("HTTP/1.1 200 OK\r\n\r\ngood", Some("good")),
    cut_within_the_length => ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ngood", None),
    cut_within_a_chunk => ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\ngood", None),
    cut_within_the_head => ("HTTP/1.1 200 OK\r\ncontent-le", None),
    no_reply_at_all => ("these bytes are no reply\r\n\r\n", None),
}

async fn reused(answers: &'static [&'static str]) -> bool {
    let (addr, _ended) = searcher(answers).await;
    let connection = link::open(addr, soon()).await.unwrap();
    let (_, connection) = link::exchange(connection, request()).await.unwrap();
    let Some(connection) = connection else { return false };
    sleep(Duration::from_millis(50)).await;
    link::exchange(connection, request()).await.is_ok()
}

#[tokio::test]
async fn a_connection_carries_one_exchange_after_the_other() {
    assert!(reused(&[GOOD, GOOD]).await);
}

#[tokio::test]
async fn a_connection_that_is_announced_to_close_is_not_kept() {
    assert!(
        !reused(&["HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n", GOOD]).await
    );
}

#[tokio::test]
async fn bytes_after_a_reply_end_its_connection() {
    let twice = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil";
    let answers: &'static [&'static str] = Box::leak(Box::new([twice, GOOD]));
    let (addr, _ended) = searcher(answers).await;
    let connection = link::open(addr, soon()).await.unwrap();
    let (reply, connection) = link::exchange(connection, request()).await.unwrap();
    assert_eq!(&reply.body()[..], b"good");
    assert!(connection.is_none());
}

#[tokio::test]
async fn dropping_an_exchange_closes_its_connection() {
    let (addr, mut ended) = searcher(&["", ""]).await;
    let connection = link::open(addr, soon()).await.unwrap();
    let exchange = link::exchange(connection, request());
    assert!(timeout(Duration::from_millis(50), exchange).await.is_err());
    assert_eq!(timeout(Duration::from_secs(1), ended.recv()).await.unwrap(), Some(1));
}

#[tokio::test]
async fn a_connection_that_ended_while_idle_is_not_used() {
    let (addr, mut ended) = searcher(&[GOOD]).await;
    let links = Links::new();
    let searcher = Searcher::new(
        SearcherKey::default(),
        SearcherName::try_new("s").unwrap(),
        1,
        ZoneName::try_new("a").unwrap(),
        addr,
        4,
    );
    for _ in 0..3 {
        let connection = links.checkout(&searcher, soon()).await.unwrap();
        let (reply, connection) = link::exchange(connection, request()).await.unwrap();
        assert_eq!(reply.status(), 200);
        if let Some(connection) = connection {
            links.put(&searcher, connection);
        }
        ended.recv().await.unwrap();
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!((links.opened(), links.reused()), (3, 0));
}

#[tokio::test]
async fn a_request_that_was_not_written_is_told_from_one_that_may_have_run() {
    let (addr, mut ended) = searcher(&[GOOD]).await;
    let connection = link::open(addr, soon()).await.unwrap();
    let (_, connection) = link::exchange(connection, request()).await.unwrap();
    ended.recv().await.unwrap();
    if let Some(connection) = connection {
        sleep(Duration::from_millis(50)).await;
        let again = link::exchange(connection, request()).await;
        assert!(matches!(again, Err(LinkError::Unsent | LinkError::Broken(_))));
    }
}
