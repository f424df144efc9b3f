//! Entries that are not used although the store lists them.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use crate::{layout::SearcherRecord, name::SearcherName};

/// How long an entry is withheld. Longer than the store keeps an entry that is not
/// renewed, and its removal takes to be read.
const WITHHELD_TIME: Duration = Duration::from_secs(6);

/// Entries of searchers that had been removed, or had started anew, when the store
/// came back from an older copy that still lists them. What they said last is lost, so
/// nothing tells yet whether they are there.
#[derive(Debug, Default)]
pub(super) struct WithheldEntries {
    by_name: BTreeMap<SearcherName, Withheld>,
}

#[derive(Debug)]
struct Withheld {
    /// The incarnation in the entry.
    incarnation: u64,
    until: Instant,
    /// The entry of the newer incarnation that was known, which is used meanwhile.
    newer: Option<SearcherRecord>,
}

impl WithheldEntries {
    /// Begins the time of all anew, since the store has come back once more.
    pub(super) fn extend(&mut self, now: Instant) {
        for withheld in self.by_name.values_mut() {
            withheld.until = now + WITHHELD_TIME;
        }
    }

    /// Withholds an entry. `newer` is that of a newer incarnation, if one was in use.
    pub(super) fn insert(
        &mut self,
        entry: &SearcherRecord,
        newer: Option<SearcherRecord>,
        now: Instant,
    ) {
        let (incarnation, until) = (entry.incarnation, now + WITHHELD_TIME);
        self.by_name.insert(entry.name.clone(), Withheld { incarnation, until, newer });
    }

    /// Returns the entry to use in place of one that the store lists; `None` if none
    /// is to be used.
    pub(super) fn usable<'a>(&'a self, entry: &'a SearcherRecord) -> Option<&'a SearcherRecord> {
        match self.by_name.get(&entry.name) {
            Some(withheld) if entry.incarnation <= withheld.incarnation => withheld.newer.as_ref(),
            _ => Some(entry),
        }
    }

    /// Ends the time of a searcher, which has written its entry, or whose entry is
    /// removed. Returns the entry that was used meanwhile, if any.
    pub(super) fn release(&mut self, name: &SearcherName) -> Option<SearcherRecord> {
        self.by_name.remove(name).and_then(|withheld| withheld.newer)
    }

    /// Returns whether an entry is withheld.
    pub(super) fn contains(&self, entry: &SearcherRecord) -> bool {
        let withheld = self.by_name.get(&entry.name);
        withheld.is_some_and(|withheld| entry.incarnation <= withheld.incarnation)
    }

    /// Ends the time of a searcher that is listed with a newer incarnation than the
    /// withheld one.
    pub(super) fn release_older(&mut self, entry: &SearcherRecord) {
        let withheld = self.by_name.get(&entry.name);
        if withheld.is_some_and(|withheld| withheld.incarnation < entry.incarnation) {
            self.by_name.remove(&entry.name);
        }
    }

    /// Ends the time of those for which it is over. Returns their names.
    pub(super) fn release_due(&mut self, now: Instant) -> Vec<SearcherName> {
        let due = self.by_name.extract_if(.., |_, withheld| withheld.until <= now);
        due.map(|(name, _)| name).collect()
    }
}
