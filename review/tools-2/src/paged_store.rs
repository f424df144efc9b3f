//! The platform's store as its pages describe lists: a page has about 500 objects
//! or 1 MB at most. Stands before the project's stand-in, whose pages have no
//! limit on their size, and passes everything else on to it.

use std::{io, net::SocketAddr};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// The maximum size of the objects of a page, in bytes, but for a single object.
const PAGE_BYTES: usize = 1_000_000;

/// The maximum number of objects of a page.
const PAGE_OBJECTS: usize = 500;

/// Starts the store on a free port, before the stand-in at `backend`.
///
/// # Errors
///
/// The error if no port is free.
pub async fn start(backend: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                // A connection that ends in an error is closed.
                let _ = serve(stream, backend).await;
            });
        }
    });
    Ok(addr)
}

async fn serve(mut stream: TcpStream, backend: SocketAddr) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut upstream = TcpStream::connect(backend).await?;
    upstream.set_nodelay(true)?;
    loop {
        let request = read_message(&mut stream).await?;
        let line = String::from_utf8_lossy(&request).lines().next().unwrap_or_default().to_owned();
        let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let is_list = line.starts_with("GET ")
            && path.matches('/').count() == 3
            && !query.split('&').any(|pair| pair.starts_with("watch="));
        if !is_list {
            upstream.write_all(&request).await?;
            stream.write_all(&read_message(&mut upstream).await?).await?;
            continue;
        }
        let whole = format!("GET {path} HTTP/1.1\r\nhost: store\r\n\r\n");
        upstream.write_all(whole.as_bytes()).await?;
        let reply = read_message(&mut upstream).await?;
        stream.write_all(&page(&reply, query)?).await?;
    }
}

/// Reads a message with its body, whose length its head gives.
async fn read_message(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut message = Vec::new();
    loop {
        if stream.read_buf(&mut message).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some(end) = head_end(&message) else { continue };
        let head = String::from_utf8_lossy(&message[..end]).to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
        let length: usize = length.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
        while message.len() < end + length {
            if stream.read_buf(&mut message).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        return Ok(message);
    }
}

fn head_end(message: &[u8]) -> Option<usize> {
    message.windows(4).position(|bytes| bytes == b"\r\n\r\n").map(|at| at + 4)
}

/// Returns the reply with the page that the query asks for, of a list of all
/// objects.
fn page(list: &[u8], query: &str) -> io::Result<Vec<u8>> {
    let body = &list[head_end(list).unwrap_or(0)..];
    let list: Value = serde_json::from_slice(body)?;
    let after = query.split('&').find_map(|pair| pair.strip_prefix("after=")).unwrap_or_default();
    let after = unescape(after);
    let objects = list["items"].as_array().cloned().unwrap_or_default();
    let name = |object: &Value| object["meta"]["name"].as_str().unwrap_or_default().to_owned();
    let mut rest = objects.into_iter().filter(|object| name(object) > after).peekable();
    let (mut items, mut bytes) = (Vec::new(), 0);
    while let Some(object) = rest.peek() {
        bytes += object.to_string().len();
        if !items.is_empty() && (bytes > PAGE_BYTES || items.len() >= PAGE_OBJECTS) {
            break;
        }
        items.extend(rest.next());
    }
    let page = json!({
        "items": items,
        "has-more": rest.peek().is_some(),
        "store-revision": list["store-revision"],
    });
    let body = page.to_string();
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    Ok([head.as_bytes(), body.as_bytes()].concat())
}

/// Decodes the percent encoding of a value of a query.
fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let escaped = match (first, tail) {
            (b'%', [a, b, ..]) => {
                std::str::from_utf8(&[*a, *b]).ok().and_then(|hex| u8::from_str_radix(hex, 16).ok())
            }
            _ => None,
        };
        bytes.push(escaped.unwrap_or(*first));
        rest = if escaped.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
