//! The encoding of messages between instances.
//!
//! Every message begins with two bytes that name the protocol, one that
//! names the version of the codec and one that names the kind of message;
//! postcard follows. Heartbeats are the hot type here, so their
//! serialisation is written by hand.
//!
//! # Example
//!
//! See the [crate](crate).

use std::fmt;

use endivevale_core::{
    departure::DEPARTURES_PER_HEARTBEAT,
    intent::ConfigVersion,
    layout::Listing,
    membership::{Heartbeat, SearcherTag},
    name::{InstanceName, SearcherName},
};
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{self, SeqAccess, Visitor},
    ser::{SerializeSeq, SerializeTuple},
};

/// The version of the codec. Raise it with every change of a message.
pub const CODEC_VERSION: u8 = 1;

/// The largest heartbeat that is sent or read, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// The largest message of an exchange, in bytes: an object of the platform
/// and its envelope.
pub const MAX_MESSAGE_BYTES: usize = 1_010_000;

/// The most siblings that one heartbeat names.
const MAX_HEARS: usize = 64;

/// The most searchers whose load one heartbeat tells.
const MAX_LOAD: usize = 512;

const PROTOCOL: [u8; 2] = [0xE4, 0x7E];
const HEADER_BYTES: usize = 4;

/// The kinds of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum Kind {
    Heartbeat = 1,
    Pull = 2,
    Pulled = 3,
}

/// Why a message was dropped.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum WireError {
    /// It does not begin as a message of this protocol.
    NotOurs,
    /// It is of another version of the codec.
    OtherCodec,
    /// It is over the limit.
    Oversized,
    /// It is not well formed, or not of the kind expected.
    Malformed,
    /// It comes from an address that no listed sibling has.
    Stranger,
    /// It came late, twice or from an earlier incarnation.
    Replayed,
}

impl std::error::Error for WireError {}

/// Asks a sibling for what it has above these versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The version of the configuration that the asker has in force.
    pub config: ConfigVersion,
    /// The version of the list that the asker has.
    pub listing: u64,
}

/// What a sibling has above the versions asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulled {
    /// A configuration with its version and text.
    pub config: Option<(ConfigVersion, String)>,
    /// A list.
    pub listing: Option<Listing>,
}

fn encode(kind: Kind, message: &impl Serialize, limit: usize) -> Result<Vec<u8>, WireError> {
    let header = vec![PROTOCOL[0], PROTOCOL[1], CODEC_VERSION, kind as u8];
    let bytes = postcard::to_extend(message, header).map_err(|_| WireError::Malformed)?;
    if bytes.len() > limit { Err(WireError::Oversized) } else { Ok(bytes) }
}

fn decode<'a, T: Deserialize<'a>>(
    kind: Kind,
    bytes: &'a [u8],
    limit: usize,
) -> Result<T, WireError> {
    if bytes.len() > limit {
        return Err(WireError::Oversized);
    }
    let (header, payload) = bytes.split_at_checked(HEADER_BYTES).ok_or(WireError::NotOurs)?;
    if header[..2] != PROTOCOL {
        return Err(WireError::NotOurs);
    }
    if header[2] != CODEC_VERSION {
        return Err(WireError::OtherCodec);
    }
    if header[3] != kind as u8 {
        return Err(WireError::Malformed);
    }
    match postcard::take_from_bytes(payload) {
        Ok((message, [])) => Ok(message),
        _ => Err(WireError::Malformed),
    }
}

/// Encodes a heartbeat as one datagram.
///
/// # Errors
///
/// [`WireError::Oversized`] when it does not fit into one.
pub fn encode_heartbeat(beat: &Heartbeat) -> Result<Vec<u8>, WireError> {
    encode(Kind::Heartbeat, &BeatOut(beat), MAX_DATAGRAM_BYTES)
}

/// Decodes a datagram as a heartbeat.
///
/// # Errors
///
/// The reason to drop the datagram.
pub fn decode_heartbeat(datagram: &[u8]) -> Result<Heartbeat, WireError> {
    decode::<BeatIn>(Kind::Heartbeat, datagram, MAX_DATAGRAM_BYTES).map(|beat| beat.0)
}

/// Encodes a question for the configuration.
///
/// # Errors
///
/// Never in practice; the type is that of every encoder.
pub fn encode_pull(pull: &Pull) -> Result<Vec<u8>, WireError> {
    encode(Kind::Pull, pull, MAX_MESSAGE_BYTES)
}

/// Decodes a question for the configuration.
///
/// # Errors
///
/// The reason to drop the message.
pub fn decode_pull(bytes: &[u8]) -> Result<Pull, WireError> {
    decode(Kind::Pull, bytes, MAX_MESSAGE_BYTES)
}

/// Encodes an answer with the configuration.
///
/// # Errors
///
/// [`WireError::Oversized`] when the text is too long.
pub fn encode_pulled(pulled: &Pulled) -> Result<Vec<u8>, WireError> {
    encode(Kind::Pulled, pulled, MAX_MESSAGE_BYTES)
}

/// Decodes an answer with the configuration.
///
/// # Errors
///
/// The reason to drop the message.
pub fn decode_pulled(bytes: &[u8]) -> Result<Pulled, WireError> {
    decode(Kind::Pulled, bytes, MAX_MESSAGE_BYTES)
}

/// The fields of a heartbeat on the wire.
const BEAT_FIELDS: usize = 8;

/// A heartbeat on its way out.
struct BeatOut<'a>(&'a Heartbeat);

impl Serialize for BeatOut<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let beat = self.0;
        let mut tuple = serializer.serialize_tuple(BEAT_FIELDS)?;
        tuple.serialize_element(&beat.sender)?;
        tuple.serialize_element(&beat.incarnation)?;
        tuple.serialize_element(&beat.sequence)?;
        tuple.serialize_element(&beat.leaving)?;
        tuple.serialize_element(&beat.config)?;
        tuple.serialize_element(&beat.hears[..beat.hears.len().min(MAX_HEARS)])?;
        let departures = beat.departures.len().min(DEPARTURES_PER_HEARTBEAT);
        tuple.serialize_element(&beat.departures[..departures])?;
        tuple.serialize_element(&LoadOut(&beat.load[..beat.load.len().min(MAX_LOAD)]))?;
        tuple.end()
    }
}

struct LoadOut<'a>(&'a [(SearcherTag, u32)]);

impl Serialize for LoadOut<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut seq = serializer.serialize_seq(Some(self.0.len()))?;
        for (tag, count) in self.0 {
            seq.serialize_element(&(tag.raw(), count))?;
        }
        seq.end()
    }
}

/// A heartbeat on its way in.
struct BeatIn(Heartbeat);

impl<'de> Deserialize<'de> for BeatIn {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(BEAT_FIELDS, BeatVisitor)
    }
}

struct BeatVisitor;

impl<'de> Visitor<'de> for BeatVisitor {
    type Value = BeatIn;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a heartbeat")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<BeatIn, A::Error> {
        Ok(BeatIn(Heartbeat {
            sender: next::<A, InstanceName>(&mut seq)?,
            incarnation: next(&mut seq)?,
            sequence: next(&mut seq)?,
            leaving: next(&mut seq)?,
            config: next(&mut seq)?,
            hears: next::<A, Bounded<InstanceName, MAX_HEARS>>(&mut seq)?.0,
            departures: next::<A, Bounded<(SearcherName, u64), DEPARTURES_PER_HEARTBEAT>>(
                &mut seq,
            )?
            .0,
            load: next::<A, Bounded<(u32, u32), MAX_LOAD>>(&mut seq)?
                .0
                .into_iter()
                .map(|(tag, count)| (SearcherTag::from_raw(tag), count))
                .collect(),
        }))
    }
}

fn next<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(seq: &mut A) -> Result<T, A::Error> {
    seq.next_element()?.ok_or_else(|| de::Error::custom("a field is missing"))
}

/// A list whose length is checked while it is read, so that a length that
/// lies costs no memory.
struct Bounded<T, const LIMIT: usize>(Vec<T>);

impl<'de, T: Deserialize<'de>, const LIMIT: usize> Deserialize<'de> for Bounded<T, LIMIT> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ListVisitor<T, const LIMIT: usize>(std::marker::PhantomData<T>);

        impl<'de, T: Deserialize<'de>, const LIMIT: usize> Visitor<'de> for ListVisitor<T, LIMIT> {
            type Value = Bounded<T, LIMIT>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "at most {LIMIT} elements")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
                let mut list = Vec::new();
                while let Some(element) = seq.next_element()? {
                    if list.len() >= LIMIT {
                        return Err(de::Error::invalid_length(LIMIT + 1, &self));
                    }
                    list.push(element);
                }
                Ok(Bounded(list))
            }
        }

        deserializer.deserialize_seq(ListVisitor(std::marker::PhantomData))
    }
}
