//! Messages on a connection, each preceded by its length.

use std::{io, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::timeout,
};

use super::{ExchangeError, PROGRESS_TIMEOUT};
use crate::wire::WireError;

/// Size of the length prefix of a message, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Writes a message, preceded by its length, in one buffer.
pub(crate) async fn write_message(
    stream: &mut (impl AsyncWriteExt + Unpin),
    message: &[u8],
) -> io::Result<()> {
    let mut frame = Vec::with_capacity(LENGTH_PREFIX_BYTES + message.len());
    frame.extend_from_slice(&(message.len() as u32).to_le_bytes());
    frame.extend_from_slice(message);
    stream.write_all(&frame).await
}

/// Reads a message of at most `max_bytes` bytes.
///
/// # Errors
///
/// Returns [`WireError::Oversized`] if the length prefix is larger, and an I/O
/// error if the connection fails or ends before the message is complete.
pub(crate) async fn read_message(
    stream: &mut (impl AsyncReadExt + Unpin),
    max_bytes: usize,
) -> Result<Vec<u8>, ExchangeError> {
    let len = read_len(stream, max_bytes).await?;
    let mut message = vec![0; len];
    stream.read_exact(&mut message).await?;
    Ok(message)
}

/// Reads a message as [`read_message`] does, of which the first bytes must come
/// within `first_wait` and further ones within [`PROGRESS_TIMEOUT`] each time.
///
/// # Errors
///
/// As [`read_message`], and [`ExchangeError::TimedOut`] if no bytes come in
/// time. A transfer that makes progress is not ended.
pub(super) async fn read_progressing_message(
    stream: &mut (impl AsyncReadExt + Unpin),
    max_bytes: usize,
    first_wait: Duration,
) -> Result<Vec<u8>, ExchangeError> {
    let len = timeout(first_wait, read_len(stream, max_bytes)).await??;
    let mut message = Vec::with_capacity(len);
    let mut rest = stream.take(len as u64);
    while message.len() < len {
        if timeout(PROGRESS_TIMEOUT, rest.read_buf(&mut message)).await?? == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
    }
    Ok(message)
}

async fn read_len(
    stream: &mut (impl AsyncReadExt + Unpin),
    max_bytes: usize,
) -> Result<usize, ExchangeError> {
    let len = stream.read_u32_le().await? as usize;
    if len > max_bytes { Err(WireError::Oversized.into()) } else { Ok(len) }
}
