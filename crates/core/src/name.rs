//! Names as shared immutable strings.
//!
//! A name is parsed once at the edge of the process and then shared by
//! reference count, so that the path of a request never copies one.
//!
//! # Example
//!
//! ```
//! use endivevale_core::name::CallerName;
//!
//! let name = CallerName::try_new("sales-desk")?;
//! assert_eq!(name.clone(), name);
//! assert!(CallerName::try_new("not a name").is_err());
//! # Ok::<(), endivevale_core::name::NameError>(())
//! ```

use std::{fmt, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// The longest name accepted, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// The longest idempotency key accepted, in bytes.
pub const KEY_MAX_BYTES: usize = 128;

/// Why a string is not a name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NameError {
    /// The string is empty.
    Empty,
    /// The string is longer than the limit, in bytes.
    TooLong {
        /// The limit that was exceeded.
        limit: usize,
    },
    /// The string holds a character that names may not hold.
    BadCharacter {
        /// The character.
        found: char,
    },
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NameError::Empty => f.write_str("a name must not be empty"),
            NameError::TooLong { limit } => write!(f, "a name has at most {limit} bytes"),
            NameError::BadCharacter { found } => {
                write!(f, "a name must not hold the character {found:?}")
            }
        }
    }
}

impl std::error::Error for NameError {}

fn check(text: &str, limit: usize, allowed: fn(char) -> bool) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > limit {
        return Err(NameError::TooLong { limit });
    }
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(NameError::BadCharacter { found }),
        None => Ok(()),
    }
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}

fn is_key_char(c: char) -> bool {
    c.is_ascii_graphic()
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $limit:expr, $allowed:expr) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            // Invariant: not empty, within the limit, allowed characters only.
            Arc<str>,
        );

        impl $name {
            /// Parses a name.
            ///
            /// # Errors
            ///
            /// A [`NameError`] when the text is empty, too long or holds a
            /// character that is not allowed.
            pub fn try_new(text: &str) -> Result<Self, NameError> {
                check(text, $limit, $allowed)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct Visitor;

                impl de::Visitor<'_> for Visitor {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str("a name")
                    }

                    fn visit_str<E: de::Error>(self, text: &str) -> Result<$name, E> {
                        $name::try_new(text).map_err(E::custom)
                    }
                }

                deserializer.deserialize_str(Visitor)
            }
        }
    };
}

name_type!(
    /// The name of a service that callers query.
    ServiceName, NAME_MAX_BYTES, is_name_char
);
name_type!(
    /// The name of a caller.
    CallerName, NAME_MAX_BYTES, is_name_char
);
name_type!(
    /// The name of an instance of the tier.
    InstanceName, NAME_MAX_BYTES, is_name_char
);
name_type!(
    /// The name of a searcher.
    SearcherName, NAME_MAX_BYTES, is_name_char
);
name_type!(
    /// The name of an availability zone.
    ZoneName, NAME_MAX_BYTES, is_name_char
);
name_type!(
    /// The key by which a caller makes a request idempotent.
    IdempotencyKey, KEY_MAX_BYTES, is_key_char
);
