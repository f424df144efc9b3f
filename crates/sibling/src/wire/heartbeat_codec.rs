//! Encoding of heartbeats.
//!
//! Heartbeats are the most frequent messages, so their serialisation is written by
//! hand.

use std::fmt;

use endivevale_core::{
    distribution::listing_delta::ListingDelta,
    distribution::membership::{Heartbeat, SearcherNameHash},
    name::{InstanceName, SearcherName},
    quarantine::{CrashEntryReport, MAX_REPORTED},
    searcher::leaving::MAX_LEAVING_PER_HEARTBEAT,
};
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{self, SeqAccess, Visitor},
    ser::{SerializeSeq, SerializeTuple},
};

use super::{MAX_DATAGRAM_BYTES, MessageKind, WireError, decode, encode};

/// Maximum number of siblings in [`Heartbeat::receives_from`], the ones from
/// which the sender currently receives heartbeats.
const MAX_REPORTED_SIBLINGS: usize = 64;

/// Maximum number of searchers whose load a heartbeat reports.
const MAX_LOAD_ENTRIES: usize = 512;

/// Encodes a heartbeat as one datagram.
///
/// Leaves out entries over the limits of the lists, and the delta if the
/// heartbeat is too large with it.
///
/// # Errors
///
/// Returns [`WireError::Oversized`] if the heartbeat is larger than
/// [`MAX_DATAGRAM_BYTES`] even without its delta.
pub fn encode_heartbeat(heartbeat: &Heartbeat) -> Result<Vec<u8>, WireError> {
    match encode(MessageKind::Heartbeat, &SerializeHeartbeat(heartbeat), MAX_DATAGRAM_BYTES) {
        // Siblings that lack the changes fetch the whole listing instead.
        Err(WireError::Oversized) if !heartbeat.delta.base_version.is_none() => {
            let heartbeat = Heartbeat { delta: ListingDelta::default(), ..heartbeat.clone() };
            encode(MessageKind::Heartbeat, &SerializeHeartbeat(&heartbeat), MAX_DATAGRAM_BYTES)
        }
        encoded => encoded,
    }
}

/// Decodes a datagram as a heartbeat.
///
/// # Errors
///
/// Returns the reason to drop the datagram.
pub fn decode_heartbeat(datagram: &[u8]) -> Result<Heartbeat, WireError> {
    decode::<DeserializeHeartbeat>(MessageKind::Heartbeat, datagram, MAX_DATAGRAM_BYTES)
        .map(|decoded| decoded.0)
}

/// Number of fields of an encoded heartbeat.
const HEARTBEAT_FIELD_COUNT: usize = 14;

/// Serialises a heartbeat. Leaves out entries over the limits of the lists.
struct SerializeHeartbeat<'a>(&'a Heartbeat);

impl Serialize for SerializeHeartbeat<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let heartbeat = self.0;
        let mut tuple = serializer.serialize_tuple(HEARTBEAT_FIELD_COUNT)?;
        tuple.serialize_element(&heartbeat.sender)?;
        tuple.serialize_element(&heartbeat.incarnation)?;
        tuple.serialize_element(&heartbeat.sequence)?;
        tuple.serialize_element(&heartbeat.leaving)?;
        tuple.serialize_element(&heartbeat.config_version)?;
        tuple.serialize_element(&heartbeat.listing)?;
        tuple.serialize_element(&heartbeat.store_revision)?;
        tuple.serialize_element(&heartbeat.after_read)?;
        tuple.serialize_element(&heartbeat.store_contact)?;
        tuple.serialize_element(&heartbeat.delta)?;
        tuple
            .serialize_element(&heartbeat.suspects[..heartbeat.suspects.len().min(MAX_REPORTED)])?;
        tuple.serialize_element(
            &heartbeat.receives_from[..heartbeat.receives_from.len().min(MAX_REPORTED_SIBLINGS)],
        )?;
        let leaving_count = heartbeat.leaving_searchers.len().min(MAX_LEAVING_PER_HEARTBEAT);
        tuple.serialize_element(&heartbeat.leaving_searchers[..leaving_count])?;
        tuple.serialize_element(&SerializeLoad(
            &heartbeat.in_flight[..heartbeat.in_flight.len().min(MAX_LOAD_ENTRIES)],
        ))?;
        tuple.end()
    }
}

/// Serialises the load as pairs of the raw hash of a searcher's name and the
/// number of requests in flight to it.
struct SerializeLoad<'a>(&'a [(SearcherNameHash, u32)]);

impl Serialize for SerializeLoad<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut seq = serializer.serialize_seq(Some(self.0.len()))?;
        for (name_hash, in_flight) in self.0 {
            seq.serialize_element(&(name_hash.raw(), in_flight))?;
        }
        seq.end()
    }
}

/// Deserialises a heartbeat. Rejects lists over their limits.
struct DeserializeHeartbeat(Heartbeat);

impl<'de> Deserialize<'de> for DeserializeHeartbeat {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(HEARTBEAT_FIELD_COUNT, HeartbeatVisitor)
    }
}

struct HeartbeatVisitor;

impl<'de> Visitor<'de> for HeartbeatVisitor {
    type Value = DeserializeHeartbeat;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a heartbeat")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<DeserializeHeartbeat, A::Error> {
        Ok(DeserializeHeartbeat(Heartbeat {
            sender: next_field::<A, InstanceName>(&mut seq)?,
            incarnation: next_field(&mut seq)?,
            sequence: next_field(&mut seq)?,
            leaving: next_field(&mut seq)?,
            config_version: next_field(&mut seq)?,
            listing: next_field(&mut seq)?,
            store_revision: next_field(&mut seq)?,
            after_read: next_field(&mut seq)?,
            store_contact: next_field(&mut seq)?,
            delta: next_field(&mut seq)?,
            suspects: next_field::<A, BoundedVec<CrashEntryReport, MAX_REPORTED>>(&mut seq)?.0,
            receives_from: next_field::<A, BoundedVec<InstanceName, MAX_REPORTED_SIBLINGS>>(
                &mut seq,
            )?
            .0,
            leaving_searchers: next_field::<
                A,
                BoundedVec<(SearcherName, u64), MAX_LEAVING_PER_HEARTBEAT>,
            >(&mut seq)?
            .0,
            in_flight: next_field::<A, BoundedVec<(u32, u32), MAX_LOAD_ENTRIES>>(&mut seq)?
                .0
                .into_iter()
                .map(|(raw_hash, in_flight)| (SearcherNameHash::from_raw(raw_hash), in_flight))
                .collect(),
        }))
    }
}

fn next_field<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(seq: &mut A) -> Result<T, A::Error> {
    seq.next_element()?.ok_or_else(|| de::Error::custom("a field is missing"))
}

/// A list with at most `MAX_LEN` elements. The length is checked while elements
/// are read, so that a false length prefix causes no large allocation.
struct BoundedVec<T, const MAX_LEN: usize>(Vec<T>);

impl<'de, T: Deserialize<'de>, const MAX_LEN: usize> Deserialize<'de> for BoundedVec<T, MAX_LEN> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct BoundedVecVisitor<T, const MAX_LEN: usize>(std::marker::PhantomData<T>);

        impl<'de, T: Deserialize<'de>, const MAX_LEN: usize> Visitor<'de>
            for BoundedVecVisitor<T, MAX_LEN>
        {
            type Value = BoundedVec<T, MAX_LEN>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "at most {MAX_LEN} elements")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
                let mut elements = Vec::new();
                while let Some(element) = seq.next_element()? {
                    if elements.len() >= MAX_LEN {
                        return Err(de::Error::invalid_length(MAX_LEN + 1, &self));
                    }
                    elements.push(element);
                }
                Ok(BoundedVec(elements))
            }
        }

        deserializer.deserialize_seq(BoundedVecVisitor(std::marker::PhantomData))
    }
}
