//! Reading the fields of one map, with every fault noted.

use std::{str::FromStr, time::Duration};

use strum::VariantNames;

use crate::{
    fault::Faults,
    node::{Key, Node, Value},
};

/// One map of the file while its fields are read.
pub(crate) struct Section {
    path: String,
    line: u64,
    /// The fields that were not read yet. Invariant: no key twice.
    fields: Vec<(Key, Node)>,
}

impl Section {
    /// Opens a map; a value of another kind is a fault and reads as empty.
    pub(crate) fn open(node: Node, path: &str, faults: &mut Faults) -> Self {
        let (line, path) = (node.line, path.to_owned());
        let mut section = Self { path, line, fields: Vec::new() };
        match node.value {
            Value::Map(entries) => section.fill(entries, faults),
            other => {
                faults.add(line, &section.path, format!("must be a map, not {}", other.kind()));
            }
        }
        section
    }

    fn fill(&mut self, entries: Vec<(Key, Node)>, faults: &mut Faults) {
        for (key, node) in entries {
            match self.fields.iter().find(|(seen, _)| seen.text == key.text) {
                Some((first, _)) => {
                    let text = format!("is given twice, first in line {}", first.line);
                    faults.add(key.line, &self.field(&key.text), text);
                }
                None => self.fields.push((key, node)),
            }
        }
    }

    pub(crate) const fn line(&self) -> u64 {
        self.line
    }

    /// The path of a field of this map.
    pub(crate) fn field(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    fn take(&mut self, name: &str) -> Option<Node> {
        let at = self.fields.iter().position(|(key, _)| key.text == name)?;
        Some(self.fields.remove(at).1)
    }

    fn require(&mut self, name: &str, faults: &mut Faults) -> Option<Node> {
        let node = self.take(name);
        if node.is_none() {
            faults.add(self.line, &self.field(name), "is missing");
        }
        node
    }

    /// Reads a field by `read`, which gives the reason when it cannot.
    fn read<T>(
        &mut self,
        name: &str,
        faults: &mut Faults,
        read: impl FnOnce(&Value) -> Result<T, String>,
    ) -> Option<(u64, T)> {
        let node = self.require(name, faults)?;
        match read(&node.value) {
            Ok(value) => Some((node.line, value)),
            Err(why) => {
                faults.add(node.line, &self.field(name), why);
                None
            }
        }
    }

    /// A text that parses as `T`.
    pub(crate) fn parsed<T: FromStr + VariantNames>(
        &mut self,
        name: &str,
        faults: &mut Faults,
    ) -> Option<T> {
        let read = |value: &Value| match value {
            Value::Text(text) => text
                .parse()
                .map_err(|_| format!("must be one of {}, not {text:?}", T::VARIANTS.join(", "))),
            other => {
                Err(format!("must be one of {}, not {}", T::VARIANTS.join(", "), other.kind()))
            }
        };
        self.read(name, faults, read).map(|(_, value)| value)
    }

    /// A text.
    pub(crate) fn text(&mut self, name: &str, faults: &mut Faults) -> Option<String> {
        let read = |value: &Value| match value {
            Value::Text(text) => Ok(text.clone()),
            other => Err(format!("must be a text, not {}", other.kind())),
        };
        self.read(name, faults, read).map(|(_, value)| value)
    }

    /// A boolean.
    pub(crate) fn boolean(&mut self, name: &str, faults: &mut Faults) -> Option<bool> {
        let read = |value: &Value| match value {
            Value::Bool(b) => Ok(*b),
            other => Err(format!("must be true or false, not {}", other.kind())),
        };
        self.read(name, faults, read).map(|(_, value)| value)
    }

    /// An integer within bounds.
    pub(crate) fn integer(
        &mut self,
        name: &str,
        bounds: std::ops::RangeInclusive<i64>,
        faults: &mut Faults,
    ) -> Option<i64> {
        let read = |value: &Value| match value {
            Value::Int(n) if bounds.contains(n) => Ok(*n),
            other => Err(format!(
                "must be an integer from {} to {}, not {other}",
                bounds.start(),
                bounds.end()
            )),
        };
        self.read(name, faults, read).map(|(_, value)| value)
    }

    /// A share, from 0 to 1.
    pub(crate) fn share(&mut self, name: &str, faults: &mut Faults) -> Option<f64> {
        let read = |value: &Value| match value {
            Value::Float(x) if (0.0..=1.0).contains(x) => Ok(*x),
            Value::Int(n @ 0..=1) => Ok(*n as f64),
            other => Err(format!("must be a share from 0 to 1, not {other}")),
        };
        self.read(name, faults, read).map(|(_, value)| value)
    }

    /// A span of time above zero, such as `95ms`, and its line.
    pub(crate) fn span(&mut self, name: &str, faults: &mut Faults) -> Option<(u64, Duration)> {
        let read = |value: &Value| match value {
            Value::Text(text) => match humantime::parse_duration(text) {
                Ok(span) if !span.is_zero() => Ok(span),
                Ok(_) => Err("must be above zero".to_owned()),
                Err(e) => Err(format!("must be a span of time such as 95ms: {e}")),
            },
            other => Err(format!("must be a span of time such as 95ms, not {other}")),
        };
        self.read(name, faults, read)
    }

    /// A map inside this one.
    pub(crate) fn section(&mut self, name: &str, faults: &mut Faults) -> Option<Section> {
        let node = self.require(name, faults)?;
        Some(Section::open(node, &self.field(name), faults))
    }

    /// The entries of a map whose keys are names, each key parsed as `K`.
    pub(crate) fn entries<K: TryFromName>(self, faults: &mut Faults) -> Vec<(K, Section)> {
        let mut entries = Vec::new();
        for (key, node) in self.fields {
            let path = if self.path.is_empty() {
                key.text.clone()
            } else {
                format!("{}.{}", self.path, key.text)
            };
            match K::try_from_name(&key.text) {
                Ok(name) => entries.push((name, Section::open(node, &path, faults))),
                Err(why) => faults.add(key.line, &path, why),
            }
        }
        entries
    }

    /// Notes every field that was not read as unknown.
    pub(crate) fn close(self, faults: &mut Faults) {
        for (key, _) in &self.fields {
            faults.add(key.line, &self.field(&key.text), "is not a field of the file");
        }
    }
}

/// Names that stand as keys of a map.
pub(crate) trait TryFromName: Sized {
    /// Parses the key, or gives the reason why it is no name.
    fn try_from_name(text: &str) -> Result<Self, String>;
}
