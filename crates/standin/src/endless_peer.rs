//! A peer that sends bytes without end.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// What the sockets of one connection hold at most, in bytes, if the system lets
/// their buffers grow.
pub const MAX_SOCKET_BYTES: u64 = 64 * 1024 * 1024;

/// A server that answers the first bytes on each connection with a text, and goes
/// on with another one until the connection closes.
#[derive(Debug)]
pub struct EndlessPeer {
    addr: SocketAddr,
    sent_bytes: Arc<AtomicU64>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for EndlessPeer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EndlessPeer {
    /// Starts a peer on a loopback address that writes `first`, and then
    /// `repeated` without end; nothing more if that is empty.
    ///
    /// # Errors
    ///
    /// The I/O error if no address can be bound.
    pub async fn start(first: &[u8], repeated: &[u8]) -> std::io::Result<Self> {
        Self::start_after(&[], first, repeated).await
    }

    /// Starts a peer as [`EndlessPeer::start`] does, that answers the first bytes on
    /// each connection with `reply` and sends the other texts after the next ones.
    ///
    /// # Errors
    ///
    /// The I/O error if no address can be bound.
    pub async fn start_after(reply: &[u8], first: &[u8], repeated: &[u8]) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let sent_bytes = Arc::<AtomicU64>::default();
        let texts = Arc::new(Texts {
            reply: reply.to_vec(),
            first: first.to_vec(),
            block: repeated.repeat(1024),
        });
        let sent = Arc::clone(&sent_bytes);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (texts, sent) = (Arc::clone(&texts), Arc::clone(&sent));
                tokio::spawn(async move {
                    // An error means that the other side has closed.
                    drop(send(stream, &texts, &sent).await);
                });
            }
        });
        Ok(Self { addr, sent_bytes, task })
    }

    /// Returns the peer's address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of bytes that were sent on all connections.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::SeqCst)
    }
}

/// What a peer sends.
#[derive(Debug)]
struct Texts {
    /// Sent first if it is not empty.
    reply: Vec<u8>,
    first: Vec<u8>,
    /// Sent without end if it is not empty.
    block: Vec<u8>,
}

async fn send(mut stream: TcpStream, texts: &Texts, sent: &AtomicU64) -> std::io::Result<()> {
    let mut buf = [0; 4096];
    if !texts.reply.is_empty() && stream.read(&mut buf).await? > 0 {
        stream.write_all(&texts.reply).await?;
    }
    if stream.read(&mut buf).await? == 0 {
        return Ok(());
    }
    stream.write_all(&texts.first).await?;
    if texts.block.is_empty() {
        // Silent until the other side closes.
        while stream.read(&mut buf).await? > 0 {}
        return Ok(());
    }
    loop {
        stream.write_all(&texts.block).await?;
        sent.fetch_add(texts.block.len() as u64, Ordering::SeqCst);
    }
}
