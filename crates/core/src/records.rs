//! The merge of parts that are lists of records of a fixed size.
//!
//! A searcher's body is a run of records in no order. The answer holds the
//! greatest records of all parts, greatest first, compared byte by byte.
//! Equal records all count.
//!
//! # Example
//!
//! ```
//! use bytes::Bytes;
//! use endivevale_core::records::greatest;
//!
//! let parts = [Bytes::from_static(b"0000000000000001"), Bytes::from_static(b"0000000000000002")];
//! assert_eq!(&greatest(&parts, 1)[..], b"0000000000000002");
//! ```

use bytes::Bytes;

/// The size of one record, in bytes.
pub const RECORD_BYTES: usize = 16;

type Record = [u8; RECORD_BYTES];

/// The greatest `top` records of the parts, greatest first. What remains of
/// a part after its last whole record is not a record and is left out.
#[must_use]
pub fn greatest(parts: &[Bytes], top: usize) -> Vec<u8> {
    let mut records: Vec<&Record> = Vec::new();
    for part in parts {
        records.extend(part.as_chunks::<RECORD_BYTES>().0);
    }
    let keep = top.min(records.len());
    if keep == 0 {
        return Vec::new();
    }
    let falling = |a: &&Record, b: &&Record| b.cmp(a);
    if keep < records.len() {
        records.select_nth_unstable_by(keep - 1, falling);
        records.truncate(keep);
    }
    records.sort_unstable_by(falling);
    records.into_iter().flatten().copied().collect()
}
