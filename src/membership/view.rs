//! Published view of the fleet of daemons; reads are lock-free.

use crate::ids::InstanceId;
use crate::membership::{MemberRow, MemberState};
use arc_swap::ArcSwap;
use std::sync::Arc;

/// Snapshot of the fleet of daemons as seen by one of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberView {
    /// This daemon; `None` only in the initial empty view.
    pub own: Option<MemberRow>,
    /// Other daemons, including dead ones, sorted by name.
    pub others: Vec<MemberRow>,
    /// Members that the platform lists as leaving.
    pub listed_leaving: Vec<InstanceId>,
    /// True when this daemon considers all others dead although the platform lists several.
    pub isolated: bool,
}

impl MemberView {
    /// Iterates over the other daemons that are alive, including suspects, for calls between
    /// daemons.
    pub fn live_peers(&self) -> impl Iterator<Item = &MemberRow> {
        self.others
            .iter()
            .filter(|row| row.state <= MemberState::Suspect)
    }

    /// Iterates over the daemons to which callers may be directed: alive, ready, and leaving
    /// according to neither the member itself nor the platform.
    pub fn serving_daemons(&self) -> impl Iterator<Item = &MemberRow> {
        self.own
            .iter()
            .chain(&self.others)
            .filter(|row| row.state <= MemberState::Suspect && row.ready)
            .filter(|row| !self.listed_leaving.contains(&row.instance))
    }

    /// Returns the number of members in a state, including this daemon.
    pub fn count(&self, state: MemberState) -> usize {
        let rows = self.own.iter().chain(&self.others);
        rows.filter(|row| row.state == state).count()
    }
}

/// Shared cell with the latest view.
#[derive(Debug, Default)]
pub struct MemberViewCell {
    current: ArcSwap<MemberView>,
}

impl MemberViewCell {
    /// Returns the latest view.
    pub fn load(&self) -> Arc<MemberView> {
        self.current.load_full()
    }

    /// Replaces the view.
    pub fn publish(&self, view: MemberView) {
        self.current.store(Arc::new(view));
    }

    /// Returns the other daemons that are alive, including suspects.
    pub fn live_peers(&self) -> Vec<MemberRow> {
        self.load().live_peers().cloned().collect()
    }
}
