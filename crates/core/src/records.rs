//! The merge of parts that consist of records of a fixed size.
//!
//! A part's body is a sequence of records in no particular order. The merged
//! result holds the greatest records of all parts in descending byte order.
//! Equal records are not deduplicated.
//!
//! # Example
//!
//! ```
//! use bytes::Bytes;
//! use endivevale_core::records::merge_greatest;
//!
//! let parts = [Bytes::from_static(b"0000000000000001"), Bytes::from_static(b"0000000000000002")];
//! assert_eq!(&merge_greatest(&parts, 1)[..], b"0000000000000002");
//! ```

use bytes::Bytes;

/// The size of one record, in bytes.
pub const RECORD_BYTES: usize = 16;

type Record = [u8; RECORD_BYTES];

/// Returns the greatest `top` records of the parts, in descending order.
/// Trailing bytes of a part that do not fill a record are ignored.
#[must_use]
pub fn merge_greatest(parts: &[Bytes], top: usize) -> Vec<u8> {
    let mut records: Vec<&Record> = Vec::new();
    for part in parts {
        records.extend(part.as_chunks::<RECORD_BYTES>().0);
    }
    let count = top.min(records.len());
    if count == 0 {
        return Vec::new();
    }
    let descending = |a: &&Record, b: &&Record| b.cmp(a);
    if count < records.len() {
        records.select_nth_unstable_by(count - 1, descending);
        records.truncate(count);
    }
    records.sort_unstable_by(descending);
    records.into_iter().flatten().copied().collect()
}
