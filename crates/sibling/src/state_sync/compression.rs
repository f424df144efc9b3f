//! Compression of configurations and listings.
//!
//! A text that is compressed with an earlier text as its dictionary is hardly
//! larger than what has changed.

use zstd::bulk::{Compressor, Decompressor};

use crate::wire::WireError;

/// The compression level. At lower levels, a change of a large text is found
/// only in part.
const LEVEL: i32 = 3;

/// Compresses bytes, with `base` as the dictionary; an empty one stands for
/// none.
///
/// # Errors
///
/// Returns [`WireError::Malformed`] if the library fails.
pub(super) fn compress(bytes: &[u8], base: &[u8]) -> Result<Vec<u8>, WireError> {
    let compressed =
        Compressor::with_dictionary(LEVEL, base).and_then(|mut zstd| zstd.compress(bytes));
    compressed.map_err(|_| WireError::Malformed)
}

/// Decompresses at most `max_bytes` bytes that were compressed with this
/// `base`.
///
/// # Errors
///
/// Returns [`WireError::Malformed`] if the bytes are not valid, or larger than
/// `max_bytes`.
pub(super) fn decompress(
    bytes: &[u8],
    base: &[u8],
    max_bytes: usize,
) -> Result<Vec<u8>, WireError> {
    let size = zstd::bulk::Decompressor::<'_>::upper_bound(bytes).unwrap_or(max_bytes);
    let decompressed = Decompressor::with_dictionary(base)
        .and_then(|mut zstd| zstd.decompress(bytes, size.min(max_bytes)));
    decompressed.map_err(|_| WireError::Malformed)
}
