//! Table of the other members as known to one daemon, and the rules for merging updates into it.

use crate::hash::stable_hash;
use crate::ids::InstanceId;
use crate::membership::row::{IncarnationNumber, MemberRow, MemberState};
use crate::units::MonoTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of members in the table; further ones are ignored.
const MAX_MEMBERS: usize = 4_096;
/// Time for which a dead member stays in the table when the platform no longer lists it.
const DEAD_RETENTION: Duration = Duration::from_secs(600);
/// Number of buckets of the anti-entropy digest.
const DIGEST_BUCKETS: usize = 16;

/// Table entry of one other daemon.
#[derive(Debug, Clone)]
pub(super) struct MemberEntry {
    /// Latest update that has not been superseded.
    pub(super) row: MemberRow,
    /// True once an update about the member has been received from itself or another member; until
    /// then it is known only from the platform's list.
    pub(super) confirmed: bool,
    /// Time at which it is declared dead unless it refutes the suspicion before.
    pub(super) deadline: Option<MonoTime>,
    /// Time at which it was declared dead.
    pub(super) died_at: Option<MonoTime>,
    /// True when the platform lists it.
    pub(super) listed: bool,
    /// True when the platform lists it as leaving.
    pub(super) listed_leaving: bool,
}

/// Result of merging an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MergeOutcome {
    /// The update was already known or has been superseded.
    Stale,
    /// The update changed the table and is to be gossiped.
    Updated,
}

/// State change of a member, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// Name of the member.
    pub instance: InstanceId,
    /// Previous state; `None` for a new member.
    pub from: Option<MemberState>,
    /// New state.
    pub to: MemberState,
}

/// Table of the other daemons.
#[derive(Debug, Clone, Default)]
pub(super) struct MemberTable {
    entries: BTreeMap<InstanceId, MemberEntry>,
    changes: Vec<MemberChange>,
    /// Cached bucket digests; `None` when the table has changed since they were computed.
    digests: Option<Vec<u32>>,
}

impl MemberTable {
    pub(super) fn get(&self, instance: &InstanceId) -> Option<&MemberEntry> {
        self.entries.get(instance)
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Returns the number of members that are alive, including suspects.
    pub(super) fn live_count(&self) -> usize {
        let is_live = |entry: &&MemberEntry| entry.row.state <= MemberState::Suspect;
        self.entries.values().filter(is_live).count()
    }

    pub(super) fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// Merges an update received from a member. `grace` is the time that a suspect has to refute
    /// the suspicion.
    ///
    /// An update that a member is dead only makes it a suspect here: each daemon declares members
    /// dead by its own clock, so that one daemon's mistake cannot remove a member everywhere.
    pub(super) fn merge(
        &mut self,
        row: &MemberRow,
        now: MonoTime,
        grace: Duration,
    ) -> MergeOutcome {
        let Some(entry) = self.entries.get_mut(&row.instance) else {
            return self.insert(row, now, grace);
        };
        if !row.supersedes(&entry.row) {
            return MergeOutcome::Stale;
        }
        self.digests = None;
        let before = entry.row.state;
        let was_confirmed = std::mem::replace(&mut entry.confirmed, true);
        match row.state {
            MemberState::Dead if before == MemberState::Dead || !was_confirmed => {
                entry.row = row.clone();
                entry.died_at = entry.died_at.or(Some(now));
            }
            MemberState::Dead => {
                entry.deadline = entry.deadline.or(Some(now.after(grace)));
                if before != MemberState::Alive {
                    return MergeOutcome::Stale;
                }
                entry.row = MemberRow {
                    state: MemberState::Suspect,
                    ..row.clone()
                };
            }
            MemberState::Suspect => {
                entry.row = row.clone();
                entry.deadline = Some(now.after(grace));
                entry.died_at = None;
            }
            MemberState::Alive | MemberState::Leaving => {
                entry.row = row.clone();
                entry.deadline = None;
                entry.died_at = None;
            }
        }
        let after = entry.row.state;
        self.record_change(&row.instance, Some(before), after);
        MergeOutcome::Updated
    }

    fn insert(&mut self, row: &MemberRow, now: MonoTime, grace: Duration) -> MergeOutcome {
        if row.state == MemberState::Dead || self.entries.len() >= MAX_MEMBERS {
            return MergeOutcome::Stale;
        }
        let entry = MemberEntry {
            row: row.clone(),
            confirmed: true,
            deadline: (row.state == MemberState::Suspect).then(|| now.after(grace)),
            died_at: None,
            listed: false,
            listed_leaving: false,
        };
        self.entries.insert(row.instance.clone(), entry);
        self.digests = None;
        self.record_change(&row.instance, None, row.state);
        MergeOutcome::Updated
    }

    /// Applies the platform's list of daemons: adds unknown ones, so that they are probed, and
    /// removes those that are no longer listed and either long dead or never confirmed by a member.
    /// Each row of `listed` comes with a flag that is true when it is listed as leaving.
    pub(super) fn apply_platform_list(&mut self, listed: &[(MemberRow, bool)], now: MonoTime) {
        for entry in self.entries.values_mut() {
            entry.listed = false;
            entry.listed_leaving = false;
        }
        for (row, leaving) in listed {
            if !self.entries.contains_key(&row.instance) && self.entries.len() < MAX_MEMBERS {
                self.entries
                    .insert(row.instance.clone(), unconfirmed_entry(row.clone()));
            }
            if let Some(entry) = self.entries.get_mut(&row.instance) {
                entry.listed = true;
                entry.listed_leaving = *leaving;
                if !entry.confirmed {
                    entry.row.address = row.address;
                    entry.row.peer_address = row.peer_address;
                }
            }
        }
        self.digests = None;
        self.entries.retain(|_, entry| {
            let expired = |died_at| now.since(died_at) > DEAD_RETENTION;
            entry.listed || entry.confirmed && !entry.died_at.is_some_and(expired)
        });
    }

    /// Makes a member that did not answer a suspect, unless its incarnation number has changed from
    /// `incarnation`. A leaving member keeps its state and only gets a deadline.
    pub(super) fn suspect(
        &mut self,
        instance: &InstanceId,
        incarnation: IncarnationNumber,
        deadline: MonoTime,
    ) -> MergeOutcome {
        let Some(entry) = self.entries.get_mut(instance) else {
            return MergeOutcome::Stale;
        };
        let may_change = matches!(entry.row.state, MemberState::Alive | MemberState::Leaving);
        if entry.row.incarnation != incarnation || !may_change || entry.deadline.is_some() {
            return MergeOutcome::Stale;
        }
        entry.deadline = Some(deadline);
        if entry.row.state == MemberState::Leaving {
            return MergeOutcome::Stale;
        }
        entry.row.state = MemberState::Suspect;
        self.digests = None;
        self.record_change(instance, Some(MemberState::Alive), MemberState::Suspect);
        MergeOutcome::Updated
    }

    /// Records a message from a member itself. For a leaving member that had not answered, the
    /// deadline is cancelled; a suspect has to refute the suspicion instead.
    pub(super) fn record_message_from(&mut self, instance: &InstanceId) {
        if let Some(entry) = self.entries.get_mut(instance)
            && entry.row.state == MemberState::Leaving
        {
            entry.deadline = None;
        }
    }

    /// Declares members dead whose deadline has passed, and returns them.
    pub(super) fn declare_expired_dead(&mut self, now: MonoTime) -> Vec<InstanceId> {
        let mut expired = Vec::new();
        for (instance, entry) in &mut self.entries {
            if entry.deadline.is_some_and(|deadline| deadline <= now) {
                expired.push((instance.clone(), entry.row.state));
                entry.row.state = MemberState::Dead;
                entry.deadline = None;
                entry.died_at = Some(now);
            }
        }
        for (instance, before) in &expired {
            self.digests = None;
            self.record_change(instance, Some(*before), MemberState::Dead);
        }
        expired.into_iter().map(|(instance, _)| instance).collect()
    }

    /// Extends the deadlines of all suspects by `more`, after this process was paused.
    pub(super) fn extend_deadlines(&mut self, more: Duration) {
        for entry in self.entries.values_mut() {
            entry.deadline = entry.deadline.map(|deadline| deadline.after(more));
        }
    }

    /// Resets all dead members to alive at the lowest incarnation number, after this daemon itself
    /// was cut off from the others.
    pub(super) fn withdraw_deaths(&mut self) {
        self.digests = None;
        for entry in self.entries.values_mut() {
            if entry.row.state == MemberState::Dead {
                entry.row.incarnation = IncarnationNumber::default();
                entry.row.state = MemberState::Alive;
                entry.confirmed = false;
                entry.died_at = None;
            }
        }
    }

    /// Returns the digest of each bucket of the table including this daemon's own row. Dead members
    /// are left out, as daemons remove them at different times.
    pub(super) fn digests(&mut self, own: &MemberRow) -> Vec<u32> {
        let entries = &self.entries;
        let known = self.digests.get_or_insert_with(|| digest_entries(entries));
        let mut digests = known.clone();
        add_digest(&mut digests, own);
        digests
    }

    /// Returns up to `limit` rows from the buckets whose digests differ, starting at a random one.
    pub(super) fn differing_rows(
        &self,
        own: &[u32],
        others: &[u32],
        limit: usize,
        rng: &mut fastrand::Rng,
    ) -> Vec<MemberRow> {
        if own.len() != others.len() {
            return Vec::new();
        }
        let differs = |entry: &&MemberEntry| {
            let bucket = bucket_of(&entry.row.instance);
            entry.confirmed && own[bucket] != others[bucket]
        };
        let rows: Vec<_> = self.entries.values().filter(differs).collect();
        let start = rng.usize(0..rows.len().max(1));
        let rotated = rows[start..].iter().chain(&rows[..start]).take(limit);
        rotated.map(|entry| entry.row.clone()).collect()
    }

    fn record_change(&mut self, instance: &InstanceId, from: Option<MemberState>, to: MemberState) {
        if from != Some(to) {
            self.changes.push(MemberChange {
                instance: instance.clone(),
                from,
                to,
            });
        }
    }
}

fn unconfirmed_entry(row: MemberRow) -> MemberEntry {
    MemberEntry {
        row,
        confirmed: false,
        deadline: None,
        died_at: None,
        listed: true,
        listed_leaving: false,
    }
}

fn digest_entries(entries: &BTreeMap<InstanceId, MemberEntry>) -> Vec<u32> {
    let mut digests = vec![0; DIGEST_BUCKETS];
    for entry in entries.values().filter(|entry| entry.confirmed) {
        add_digest(&mut digests, &entry.row);
    }
    digests
}

fn add_digest(digests: &mut [u32], row: &MemberRow) {
    if row.state != MemberState::Dead {
        let incarnation = row.incarnation.0.to_le_bytes();
        let name = row.instance.as_str().as_bytes();
        let hash = stable_hash(&[name, &incarnation, &[row.state as u8]]);
        digests[bucket_of(&row.instance)] ^= hash as u32;
    }
}

fn bucket_of(instance: &InstanceId) -> usize {
    let hash = stable_hash(&[instance.as_str().as_bytes()]);
    (hash % DIGEST_BUCKETS as u64) as usize
}
