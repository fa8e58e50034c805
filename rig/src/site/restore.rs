//! What the stand-in store needs to go back to an older copy of itself.

use crate::site::store::StoredItem;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How the store comes back from an older copy. All leases are gone, and identifiers of leases and
/// revisions are given out again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreRestore {
    /// Age of the copy.
    pub age: Duration,
    /// True when waiting watches are cut, as when the store was away. Otherwise they go on waiting,
    /// in the restored history.
    pub cuts_watches: bool,
}

/// State that the operator or a server left a key in, and that a restore lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostWrite {
    /// Key.
    pub key: String,
    /// Value in base64; `None` when the key was removed.
    pub value: Option<String>,
}

/// Who made a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteAuthor {
    /// The operator or a server.
    Outside,
    /// A daemon, or the end of its lease.
    System,
}

#[derive(Debug)]
struct JournalRow {
    at: Instant,
    author: WriteAuthor,
    revision: u64,
    key: String,
    item: Option<StoredItem>,
    next_lease: i64,
}

/// The store as it was at an earlier time.
#[derive(Debug, Default)]
pub(super) struct StoreCopy {
    pub items: BTreeMap<String, StoredItem>,
    pub history: Vec<(u64, String, Option<StoredItem>)>,
    pub revision: u64,
    pub next_lease: i64,
    pub lost: Vec<LostWrite>,
}

/// All changes with their times.
#[derive(Debug, Default)]
pub(super) struct StoreJournal {
    rows: Vec<JournalRow>,
}

impl StoreJournal {
    /// Records a change; `item` is `None` for a removal.
    pub(super) fn record(
        &mut self,
        author: WriteAuthor,
        revision: u64,
        key: &str,
        item: Option<&StoredItem>,
        next_lease: i64,
    ) {
        self.rows.push(JournalRow {
            at: Instant::now(),
            author,
            revision,
            key: key.to_owned(),
            item: item.cloned(),
            next_lease,
        });
    }

    /// Drops the changes of the last `age` and returns the copy without them.
    pub(super) fn go_back(&mut self, age: Duration) -> StoreCopy {
        let now = Instant::now();
        let is_kept = |row: &JournalRow| now.duration_since(row.at) >= age;
        let kept = self.rows.partition_point(is_kept);
        let dropped = self.rows.split_off(kept);
        let mut copy = StoreCopy::default();
        for row in &self.rows {
            match &row.item {
                Some(item) => copy.items.insert(row.key.clone(), item.clone()),
                None => copy.items.remove(&row.key),
            };
            copy.history
                .push((row.revision, row.key.clone(), row.item.clone()));
            copy.revision = row.revision;
            copy.next_lease = row.next_lease;
        }
        let outside = dropped
            .into_iter()
            .filter(|row| row.author == WriteAuthor::Outside);
        let last: BTreeMap<String, Option<String>> = outside
            .map(|row| (row.key, row.item.map(|item| item.value)))
            .collect();
        let lost = last.into_iter();
        copy.lost = lost.map(|(key, value)| LostWrite { key, value }).collect();
        copy
    }
}
