//! Messages on a connection, each preceded by its length.

use std::{io, time::Duration};

use endivevale_core::byte_budget::ByteLease;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::timeout,
};

use super::{EXCHANGE_TIMEOUT, ExchangeError, PROGRESS_TIMEOUT};
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

/// Reads a message of at most `max_bytes` bytes, which must be complete within
/// [`EXCHANGE_TIMEOUT`] after its length. The bytes count against `lease` as they
/// come, whatever length was announced.
///
/// # Errors
///
/// Returns [`WireError::Oversized`] if the announced length is larger or the
/// budget of the lease is exhausted, [`ExchangeError::TimedOut`] if the message is
/// not complete in time, and an I/O error if the connection fails or ends before.
pub(crate) async fn read_message(
    stream: &mut (impl AsyncReadExt + Unpin),
    max_bytes: usize,
    lease: &mut ByteLease,
) -> Result<Vec<u8>, ExchangeError> {
    let len = read_len(stream, max_bytes).await?;
    let reading = async {
        let mut message = Vec::new();
        let mut rest = stream.take(len as u64);
        while message.len() < len {
            let read = rest.read_buf(&mut message).await?;
            if read == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
            lease.try_add(read).map_err(|_| WireError::Oversized)?;
        }
        Ok(message)
    };
    timeout(EXCHANGE_TIMEOUT, reading).await?
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
