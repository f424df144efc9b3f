//! Reading the fields of one map of a YAML file, with every fault noted.
//!
//! # Example
//!
//! ```
//! use endivevale_operator::{fault::Faults, section::Section};
//!
//! let mut faults = Faults::new("node.yaml");
//! let mut root = Section::read("size: 3\ncolour: red\n", &mut faults).unwrap();
//! assert_eq!(root.integer("size", 1..=9, &mut faults), Some(3));
//! root.close(&mut faults);
//! let found = faults.into_result(()).unwrap_err();
//! assert_eq!(found[0].to_string(), "node.yaml:2: colour: is not a field of the file");
//! ```

use std::{fmt::Display, str::FromStr, time::Duration};

use strum::VariantNames;

use crate::{
    fault::Faults,
    node::{self, Key, Node, Value},
};

/// One map of the file while its fields are read.
#[derive(Debug)]
pub struct Section {
    path: String,
    line: u64,
    /// The fields that were not read yet. Invariant: no key twice.
    fields: Vec<(Key, Node)>,
}

impl Section {
    /// Reads a file whose root is a map; `None` when it is not YAML.
    pub fn read(text: &str, faults: &mut Faults) -> Option<Self> {
        match node::parse(text) {
            Ok(root) => Some(Self::open(root, "", faults)),
            Err((line, message)) => {
                faults.add(line, "", message);
                None
            }
        }
    }

    /// Opens a map; a value of another kind is a fault and reads as empty.
    fn open(node: Node, path: &str, faults: &mut Faults) -> Self {
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

    /// The line in which the map begins.
    #[must_use]
    pub const fn line(&self) -> u64 {
        self.line
    }

    /// The path of a field of this map.
    #[must_use]
    pub fn field(&self, name: &str) -> String {
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
    fn value<T>(
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

    /// Whether the field is given and was not read yet.
    #[must_use]
    pub fn has(&self, name: &str) -> bool {
        self.fields.iter().any(|(key, _)| key.text == name)
    }

    /// A text that parses as `T`.
    pub fn parsed<T: FromStr<Err: Display>>(
        &mut self,
        name: &str,
        faults: &mut Faults,
    ) -> Option<T> {
        self.value(name, faults, parse_text).map(|(_, value)| value)
    }

    /// A list of texts that parse as `T`.
    pub fn list<T: FromStr<Err: Display>>(
        &mut self,
        name: &str,
        faults: &mut Faults,
    ) -> Option<Vec<T>> {
        let read = |value: &Value| match value {
            Value::List(list) => list.iter().map(|node| parse_text(&node.value)).collect(),
            other => Err(format!("must be a list, not {}", other.kind())),
        };
        self.value(name, faults, read).map(|(_, value)| value)
    }

    /// One of the names of an enum.
    pub fn one_of<T: FromStr + VariantNames>(
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
        self.value(name, faults, read).map(|(_, value)| value)
    }

    /// A text.
    pub fn text(&mut self, name: &str, faults: &mut Faults) -> Option<String> {
        let read = |value: &Value| match value {
            Value::Text(text) => Ok(text.clone()),
            other => Err(format!("must be a text, not {}", other.kind())),
        };
        self.value(name, faults, read).map(|(_, value)| value)
    }

    /// A boolean.
    pub fn boolean(&mut self, name: &str, faults: &mut Faults) -> Option<bool> {
        let read = |value: &Value| match value {
            Value::Bool(b) => Ok(*b),
            other => Err(format!("must be true or false, not {}", other.kind())),
        };
        self.value(name, faults, read).map(|(_, value)| value)
    }

    /// An integer within bounds.
    pub fn integer(
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
        self.value(name, faults, read).map(|(_, value)| value)
    }

    /// A share, from 0 to 1.
    pub fn share(&mut self, name: &str, faults: &mut Faults) -> Option<f64> {
        let read = |value: &Value| match value {
            Value::Float(x) if (0.0..=1.0).contains(x) => Ok(*x),
            Value::Int(n @ 0..=1) => Ok(*n as f64),
            other => Err(format!("must be a share from 0 to 1, not {other}")),
        };
        self.value(name, faults, read).map(|(_, value)| value)
    }

    /// A span of time above zero, such as `95ms`, and its line.
    pub fn span(&mut self, name: &str, faults: &mut Faults) -> Option<(u64, Duration)> {
        let read = |value: &Value| match parse_span(value) {
            Ok(span) if span.is_zero() => Err("must be above zero".to_owned()),
            other => other,
        };
        self.value(name, faults, read)
    }

    /// A span of time, which may be zero.
    pub fn span_or_zero(&mut self, name: &str, faults: &mut Faults) -> Option<Duration> {
        self.value(name, faults, parse_span).map(|(_, span)| span)
    }

    /// A map inside this one.
    pub fn section(&mut self, name: &str, faults: &mut Faults) -> Option<Section> {
        let node = self.require(name, faults)?;
        Some(Section::open(node, &self.field(name), faults))
    }

    /// The entries of a map whose keys are names, each key parsed as `K`.
    pub fn entries<K: FromStr<Err: Display>>(self, faults: &mut Faults) -> Vec<(K, Section)> {
        let mut entries = Vec::new();
        for (key, node) in self.fields {
            let path = if self.path.is_empty() {
                key.text.clone()
            } else {
                format!("{}.{}", self.path, key.text)
            };
            match key.text.parse() {
                Ok(name) => entries.push((name, Section::open(node, &path, faults))),
                Err(why) => faults.add(key.line, &path, format!("{why}")),
            }
        }
        entries
    }

    /// Notes every field that was not read as unknown.
    pub fn close(self, faults: &mut Faults) {
        for (key, _) in &self.fields {
            faults.add(key.line, &self.field(&key.text), "is not a field of the file");
        }
    }
}

fn parse_span(value: &Value) -> Result<Duration, String> {
    match value {
        Value::Text(text) => humantime::parse_duration(text)
            .map_err(|e| format!("must be a span of time such as 95ms: {e}")),
        other => Err(format!("must be a span of time such as 95ms, not {other}")),
    }
}

fn parse_text<T: FromStr<Err: Display>>(value: &Value) -> Result<T, String> {
    match value {
        Value::Text(text) => text.parse().map_err(|e| format!("{text:?}: {e}")),
        other => Err(format!("must be a text, not {}", other.kind())),
    }
}
