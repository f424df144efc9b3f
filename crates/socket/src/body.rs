//! Reading of HTTP bodies within bounds.

use std::{error::Error, fmt};

use bytes::{Bytes, BytesMut};
use endivevale_core::byte_budget::{BudgetExhausted, ByteBudget};
use http_body_util::BodyExt;
use tokio::io::{AsyncRead, AsyncReadExt};

/// The reason why a body was not read to its end.
#[derive(Debug)]
pub enum BodyError {
    /// The body is larger than the limit, in bytes.
    TooLarge(usize),
    /// The instance holds too many bytes of other messages.
    BudgetExhausted,
    /// The connection failed, or the body is malformed.
    Broken(Box<dyn Error + Send + Sync>),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::TooLarge(max) => write!(f, "the body is over the limit of {max} bytes"),
            BodyError::BudgetExhausted => BudgetExhausted.fmt(f),
            BodyError::Broken(e) => write!(f, "the body broke off: {e}"),
        }
    }
}

impl Error for BodyError {}

impl From<BudgetExhausted> for BodyError {
    fn from(_: BudgetExhausted) -> Self {
        BodyError::BudgetExhausted
    }
}

/// Reads a stream to its end, of at most `max_bytes` bytes. The bytes count against
/// `budget` until the last reference to them is dropped.
///
/// # Errors
///
/// A [`BodyError`]. The rest of the stream is not read.
pub async fn read_stream(
    mut stream: impl AsyncRead + Unpin,
    max_bytes: usize,
    budget: &ByteBudget,
) -> Result<Bytes, BodyError> {
    let mut lease = budget.lease();
    let mut data = BytesMut::new();
    loop {
        let read = stream.read_buf(&mut data).await.map_err(|e| BodyError::Broken(e.into()))?;
        if read == 0 {
            return Ok(lease.attach(data.freeze()));
        }
        if data.len() > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        lease.try_add(read)?;
    }
}

/// Reads a body of at most `max_bytes` bytes. The bytes count against `budget`
/// until the last reference to them is dropped. Trailers are discarded.
///
/// # Errors
///
/// A [`BodyError`]. The rest of the body is not read, so the connection can carry
/// no further message.
pub async fn read_body<B>(
    mut body: B,
    max_bytes: usize,
    budget: &ByteBudget,
) -> Result<Bytes, BodyError>
where
    B: BodyExt<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut lease = budget.lease();
    let mut data = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyError::Broken(e.into()))?;
        let Ok(chunk) = frame.into_data() else { continue };
        if data.len() + chunk.len() > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        lease.try_add(chunk.len())?;
        data.extend_from_slice(&chunk);
    }
    Ok(lease.attach(data.freeze()))
}
