//! What one daemon knows about the others, and the rules by which statements change it.

use crate::hash::stable_hash;
use crate::ids::InstanceId;
use crate::membership::row::{IncarnationNumber, MemberRow, MemberState};
use crate::units::MonoTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Members known at once; further ones are ignored.
const MAX_MEMBERS: usize = 4_096;
/// Time for which a dead member that the platform no longer lists is remembered.
const DEAD_RETENTION: Duration = Duration::from_secs(600);
/// Buckets of the table's digest.
const DIGEST_BUCKETS: usize = 16;

/// One other daemon.
#[derive(Debug, Clone)]
pub(super) struct MemberEntry {
    /// The statement in force.
    pub(super) row: MemberRow,
    /// True once the member itself or another member has spoken of it; until then it is known
    /// from the platform's list alone.
    pub(super) vouched: bool,
    /// Time at which it is declared dead unless it refutes this.
    pub(super) deadline: Option<MonoTime>,
    /// Time of its death.
    pub(super) died: Option<MonoTime>,
    /// Whether the platform lists it.
    pub(super) listed: bool,
    /// Whether the platform lists it as leaving.
    pub(super) listed_leaving: bool,
}

/// What a statement has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MergeOutcome {
    /// Nothing; it is known or overruled.
    Stale,
    /// It is news, to be passed on.
    News,
}

/// A member's change of state, for logs and counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// Member.
    pub instance: InstanceId,
    /// State before; `None` for a member not known before.
    pub from: Option<MemberState>,
    /// State now.
    pub to: MemberState,
}

/// The other daemons.
#[derive(Debug, Clone, Default)]
pub(super) struct MemberTable {
    entries: BTreeMap<InstanceId, MemberEntry>,
    changes: Vec<MemberChange>,
    /// Digests of the entries, once computed since the last change.
    digests: Option<Vec<u32>>,
}

impl MemberTable {
    pub(super) fn get(&self, instance: &InstanceId) -> Option<&MemberEntry> {
        self.entries.get(instance)
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Number of members that may be alive.
    pub(super) fn live_count(&self) -> usize {
        let is_live = |entry: &&MemberEntry| entry.row.state <= MemberState::Suspect;
        self.entries.values().filter(is_live).count()
    }

    pub(super) fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// Takes a statement by a member about another one. `grace` is the time a suspect has to
    /// refute.
    ///
    /// A statement that a member is dead only makes it a suspect here: each daemon declares death
    /// by its own clock, so that one daemon's mistake cannot remove a member everywhere.
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
        let was_vouched = std::mem::replace(&mut entry.vouched, true);
        match row.state {
            MemberState::Dead if before == MemberState::Dead || !was_vouched => {
                entry.row = row.clone();
                entry.died = entry.died.or(Some(now));
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
                entry.died = None;
            }
            MemberState::Alive | MemberState::Leaving => {
                entry.row = row.clone();
                entry.deadline = None;
                entry.died = None;
            }
        }
        let after = entry.row.state;
        self.note(&row.instance, Some(before), after);
        MergeOutcome::News
    }

    fn insert(&mut self, row: &MemberRow, now: MonoTime, grace: Duration) -> MergeOutcome {
        if row.state == MemberState::Dead || self.entries.len() >= MAX_MEMBERS {
            return MergeOutcome::Stale;
        }
        let entry = MemberEntry {
            row: row.clone(),
            vouched: true,
            deadline: (row.state == MemberState::Suspect).then(|| now.after(grace)),
            died: None,
            listed: false,
            listed_leaving: false,
        };
        self.entries.insert(row.instance.clone(), entry);
        self.digests = None;
        self.note(&row.instance, None, row.state);
        MergeOutcome::News
    }

    /// Takes the platform's list of daemons: adds the unknown ones, to be probed, and forgets those
    /// that are dead and no longer listed. `listed` holds each row and whether it is leaving.
    pub(super) fn apply_platform_list(&mut self, listed: &[(MemberRow, bool)], now: MonoTime) {
        for entry in self.entries.values_mut() {
            entry.listed = false;
            entry.listed_leaving = false;
        }
        for (row, leaving) in listed {
            if !self.entries.contains_key(&row.instance) && self.entries.len() < MAX_MEMBERS {
                self.entries
                    .insert(row.instance.clone(), unvouched(row.clone()));
            }
            if let Some(entry) = self.entries.get_mut(&row.instance) {
                entry.listed = true;
                entry.listed_leaving = *leaving;
                if !entry.vouched {
                    entry.row.address = row.address;
                    entry.row.peer_address = row.peer_address;
                }
            }
        }
        self.digests = None;
        self.entries.retain(|_, entry| {
            let expired = |died| now.since(died) > DEAD_RETENTION;
            entry.listed || entry.vouched && !entry.died.is_some_and(expired)
        });
    }

    /// Suspects a member that has not answered, unless it has spoken since incarnation `seen`.
    pub(super) fn suspect(
        &mut self,
        instance: &InstanceId,
        seen: IncarnationNumber,
        deadline: MonoTime,
    ) -> MergeOutcome {
        let Some(entry) = self.entries.get_mut(instance) else {
            return MergeOutcome::Stale;
        };
        let may_change = matches!(entry.row.state, MemberState::Alive | MemberState::Leaving);
        if entry.row.incarnation != seen || !may_change || entry.deadline.is_some() {
            return MergeOutcome::Stale;
        }
        entry.deadline = Some(deadline);
        if entry.row.state == MemberState::Leaving {
            return MergeOutcome::Stale;
        }
        entry.row.state = MemberState::Suspect;
        self.digests = None;
        self.note(instance, Some(MemberState::Alive), MemberState::Suspect);
        MergeOutcome::News
    }

    /// Notes that a member has just spoken for itself: what it said counts, and a leaving member
    /// that had not answered gets more time.
    pub(super) fn heard(&mut self, instance: &InstanceId) {
        if let Some(entry) = self.entries.get_mut(instance)
            && entry.row.state == MemberState::Leaving
        {
            entry.deadline = None;
        }
    }

    /// Declares dead whose time has run out; returns them.
    pub(super) fn expire(&mut self, now: MonoTime) -> Vec<InstanceId> {
        let mut expired = Vec::new();
        for (instance, entry) in &mut self.entries {
            if entry.deadline.is_some_and(|deadline| deadline <= now) {
                expired.push((instance.clone(), entry.row.state));
                entry.row.state = MemberState::Dead;
                entry.deadline = None;
                entry.died = Some(now);
            }
        }
        for (instance, before) in &expired {
            self.digests = None;
            self.note(instance, Some(*before), MemberState::Dead);
        }
        expired.into_iter().map(|(instance, _)| instance).collect()
    }

    /// Gives all suspects `more` time, after a pause of this process.
    pub(super) fn postpone(&mut self, more: Duration) {
        for entry in self.entries.values_mut() {
            entry.deadline = entry.deadline.map(|deadline| deadline.after(more));
        }
    }

    /// Withdraws all verdicts of death: this daemon was cut off, not the others.
    pub(super) fn withdraw_deaths(&mut self) {
        self.digests = None;
        for entry in self.entries.values_mut() {
            if entry.row.state == MemberState::Dead {
                entry.row.incarnation = IncarnationNumber::default();
                entry.row.state = MemberState::Alive;
                entry.vouched = false;
                entry.died = None;
            }
        }
    }

    /// Digest of each bucket of the table, with this daemon's own row; dead members do not count,
    /// since daemons forget them at different times.
    pub(super) fn digests(&mut self, own: &MemberRow) -> Vec<u32> {
        let entries = &self.entries;
        let known = self.digests.get_or_insert_with(|| digest_entries(entries));
        let mut digests = known.clone();
        add_digest(&mut digests, own);
        digests
    }

    /// Up to `limit` rows, from a random start on, of the buckets whose digests differ.
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
            entry.vouched && own[bucket] != others[bucket]
        };
        let rows: Vec<_> = self.entries.values().filter(differs).collect();
        let start = rng.usize(0..rows.len().max(1));
        let turned = rows[start..].iter().chain(&rows[..start]).take(limit);
        turned.map(|entry| entry.row.clone()).collect()
    }

    fn note(&mut self, instance: &InstanceId, from: Option<MemberState>, to: MemberState) {
        if from != Some(to) {
            self.changes.push(MemberChange {
                instance: instance.clone(),
                from,
                to,
            });
        }
    }
}

fn unvouched(row: MemberRow) -> MemberEntry {
    MemberEntry {
        row,
        vouched: false,
        deadline: None,
        died: None,
        listed: true,
        listed_leaving: false,
    }
}

fn digest_entries(entries: &BTreeMap<InstanceId, MemberEntry>) -> Vec<u32> {
    let mut digests = vec![0; DIGEST_BUCKETS];
    for entry in entries.values().filter(|entry| entry.vouched) {
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
