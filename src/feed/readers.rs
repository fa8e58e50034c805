//! Chooses the daemons that read the store for their failure domain.

use crate::hash::stable_hash;
use crate::ids::{DomainId, InstanceId};
use crate::presence::PresenceRow;
use std::collections::HashMap;

/// Daemons of each failure domain that read the store: two of them may fail at the same time.
pub const READERS_PER_DOMAIN: usize = 3;

/// How a daemon learns of changes of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadingRole {
    /// It reads the store itself, and others follow it.
    Reader,
    /// It serves feeds as a reader does, and follows one of these readers, the preferred one first. While
    /// it has no feed that it can rely on, it reads the store itself.
    Standby(Vec<PresenceRow>),
    /// It reads the store itself because it is not listed: it has just started, or its lease has run out.
    Unlisted,
    /// It follows one of these daemons, the preferred one first.
    Follower(Vec<PresenceRow>),
}

impl ReadingRole {
    /// Name in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Reader => "reader",
            Self::Standby(_) => "standby",
            Self::Unlisted => "unlisted",
            Self::Follower(_) => "follower",
        }
    }
}

/// Number of daemons that read the store among the listed ones.
pub fn count_readers<'a>(rows: impl Iterator<Item = &'a PresenceRow>) -> usize {
    let mut daemons: HashMap<&DomainId, usize> = HashMap::new();
    for row in rows {
        *daemons.entry(&row.domain).or_default() += 1;
    }
    let readers = daemons
        .values()
        .map(|count| (*count).min(READERS_PER_DOMAIN));
    readers.sum()
}

/// Decides as [`reading_role`] does, but only the first reader of a failure domain reads the store all the
/// time. The others stand by.
pub fn saving_role<'a>(
    rows: impl Iterator<Item = &'a PresenceRow> + Clone,
    instance: &InstanceId,
    domain: &DomainId,
) -> ReadingRole {
    let role = reading_role(rows.clone(), instance, domain);
    if role != ReadingRole::Reader {
        return role;
    }
    let mut ranked: Vec<&PresenceRow> = rows.filter(|row| row.domain == *domain).collect();
    ranked.sort_by_key(|row| reader_order(row));
    let earlier = ranked
        .into_iter()
        .take_while(|row| row.instance != *instance);
    let earlier: Vec<PresenceRow> = earlier.cloned().collect();
    if earlier.is_empty() {
        ReadingRole::Reader
    } else {
        ReadingRole::Standby(earlier)
    }
}

fn reader_order(row: &PresenceRow) -> u64 {
    stable_hash(&[b"store reader", row.instance.as_str().as_bytes()])
}

/// True for the first of the daemons that read the store for a failure domain.
pub fn is_first_reader<'a>(
    rows: impl Iterator<Item = &'a PresenceRow>,
    instance: &InstanceId,
    domain: &DomainId,
) -> bool {
    let members = rows.filter(|row| row.domain == *domain);
    let first = members.min_by_key(|row| reader_order(row));
    first.is_some_and(|row| row.instance == *instance)
}

/// Decides how a daemon learns of changes of the store, by rendezvous hashing over the listed daemons of
/// its failure domain.
pub fn reading_role<'a>(
    rows: impl Iterator<Item = &'a PresenceRow>,
    instance: &InstanceId,
    domain: &DomainId,
) -> ReadingRole {
    let mut ranked: Vec<&PresenceRow> = rows.filter(|row| row.domain == *domain).collect();
    if !ranked.iter().any(|row| row.instance == *instance) {
        return ReadingRole::Unlisted;
    }
    ranked.sort_by_key(|row| reader_order(row));
    ranked.truncate(READERS_PER_DOMAIN);
    if ranked.iter().any(|row| row.instance == *instance) {
        return ReadingRole::Reader;
    }
    // Spreads the followers over the readers.
    ranked.sort_by_key(|row| {
        let names = [row.instance.as_str(), instance.as_str()];
        stable_hash(&names.map(str::as_bytes))
    });
    ReadingRole::Follower(ranked.into_iter().cloned().collect())
}
