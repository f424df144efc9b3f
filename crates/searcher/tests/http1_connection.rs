//! Tests of exchanges on one connection, with valid, invalid and truncated
//! replies.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use endivevale_cases::cases;
use endivevale_core::{
    byte_budget::ByteBudget,
    name::{SearcherName, ZoneName},
    searcher::{Searcher, SearcherKey},
};
use endivevale_searcher::{
    IdleConnections,
    http1_connection::{self, HttpExchangeError, ReadyConnection},
};
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{Instant, sleep, timeout},
};

const OK_REPLY: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood";

/// Starts a searcher that answers each request on a connection with the next of
/// `replies`, then closes the connection. Returns its address and a receiver that
/// gets the number of requests answered on each connection when it closes.
async fn start_searcher(replies: &'static [&'static str]) -> (SocketAddr, mpsc::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel(8);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let tx = tx.clone();
            tokio::spawn(async move {
                let served = serve_connection(stream, replies).await;
                tx.send(served).await.expect("receiver dropped before the end of the test");
            });
        }
    });
    (addr, rx)
}

async fn serve_connection(mut stream: TcpStream, replies: &[&str]) -> usize {
    let mut buf = [0; 4096];
    for (served, reply) in replies.iter().enumerate() {
        match stream.read(&mut buf).await {
            Ok(n) if n > 0 => stream.write_all(reply.as_bytes()).await.unwrap(),
            _ => return served,
        }
    }
    // If the last reply is empty, waits for the client to send more or to close
    // the connection, instead of closing it now.
    if replies.last().is_some_and(|last| last.is_empty()) {
        drop(stream.read(&mut buf).await);
    }
    replies.len()
}

async fn exchange(
    connection: ReadyConnection,
) -> Result<(Response<Bytes>, Option<ReadyConnection>), HttpExchangeError> {
    let budget = ByteBudget::new(usize::MAX);
    http1_connection::exchange(connection, request(), &budget).await
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/x").header("host", "h").body(Full::default()).unwrap()
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

cases! {
    fn reply_is_complete_or_an_error(reply: &'static str, expected: Option<&'static str>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let replies: &'static [&'static str] = Box::leak(Box::new([reply]));
            let (addr, _closed) = start_searcher(replies).await;
            let connection = http1_connection::connect(addr, deadline()).await.unwrap();
            match exchange(connection).await {
                Ok((reply, _)) => assert_eq!(Some(&reply.body()[..]), expected.map(str::as_bytes)),
                Err(e) => assert_eq!(None, expected, "{e}"),
            }
        });
    }
    content_length => (OK_REPLY, Some("good")),
    chunked => ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\ngo\r\n2\r\nod\r\n0\r\n\r\n", Some("good")),
    until_connection_close => ("HTTP/1.1 200 OK\r\n\r\ngood", Some("good")),
    truncated_content_length => ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ngood", None),
    truncated_within_a_chunk => ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\ngood", None),
    truncated_within_the_head => ("HTTP/1.1 200 OK\r\ncontent-le", None),
    not_http => ("these bytes are no reply\r\n\r\n", None),
}

async fn can_reuse_connection(replies: &'static [&'static str]) -> bool {
    let (addr, _closed) = start_searcher(replies).await;
    let connection = http1_connection::connect(addr, deadline()).await.unwrap();
    let (_, connection) = exchange(connection).await.unwrap();
    let Some(connection) = connection else { return false };
    sleep(Duration::from_millis(50)).await;
    exchange(connection).await.is_ok()
}

#[tokio::test]
async fn connection_is_reused_for_a_second_exchange() {
    assert!(can_reuse_connection(&[OK_REPLY, OK_REPLY]).await);
}

#[tokio::test]
async fn connection_with_close_header_is_not_reused() {
    assert!(
        !can_reuse_connection(&[
            "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
            OK_REPLY
        ])
        .await
    );
}

#[tokio::test]
async fn connection_with_bytes_after_the_reply_is_not_reused() {
    let two_replies = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil";
    let replies: &'static [&'static str] = Box::leak(Box::new([two_replies, OK_REPLY]));
    let (addr, _closed) = start_searcher(replies).await;
    let connection = http1_connection::connect(addr, deadline()).await.unwrap();
    let (reply, connection) = exchange(connection).await.unwrap();
    assert_eq!(&reply.body()[..], b"good");
    assert!(connection.is_none());
}

#[tokio::test]
async fn dropping_an_exchange_closes_its_connection() {
    let (addr, mut closed) = start_searcher(&["", ""]).await;
    let connection = http1_connection::connect(addr, deadline()).await.unwrap();
    let exchange = exchange(connection);
    assert!(timeout(Duration::from_millis(50), exchange).await.is_err());
    assert_eq!(timeout(Duration::from_secs(1), closed.recv()).await.unwrap(), Some(1));
}

#[tokio::test]
async fn connection_that_closed_while_idle_is_not_reused() {
    let (addr, mut closed) = start_searcher(&[OK_REPLY]).await;
    let idle_connections = IdleConnections::new();
    let searcher = Searcher::new(
        SearcherKey::default(),
        SearcherName::try_new("s").unwrap(),
        1,
        ZoneName::try_new("a").unwrap(),
        addr,
        4,
    );
    for _ in 0..3 {
        let connection = idle_connections.checkout(&searcher, deadline()).await.unwrap();
        let (reply, connection) = exchange(connection).await.unwrap();
        assert_eq!(reply.status(), 200);
        if let Some(connection) = connection {
            idle_connections.checkin(&searcher, connection);
        }
        closed.recv().await.unwrap();
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!((idle_connections.connect_count(), idle_connections.reuse_count()), (3, 0));
}

#[tokio::test]
async fn request_on_a_closed_connection_fails_as_unsent_or_http_error() {
    let (addr, mut closed) = start_searcher(&[OK_REPLY]).await;
    let connection = http1_connection::connect(addr, deadline()).await.unwrap();
    let (_, connection) = exchange(connection).await.unwrap();
    closed.recv().await.unwrap();
    if let Some(connection) = connection {
        sleep(Duration::from_millis(50)).await;
        let result = exchange(connection).await;
        assert!(matches!(result, Err(HttpExchangeError::Unsent | HttpExchangeError::Http(_))));
    }
}
