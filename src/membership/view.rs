//! The published view of the fleet of daemons; readers never wait.

use crate::ids::InstanceId;
use crate::membership::{MemberRow, MemberState};
use arc_swap::ArcSwap;
use std::sync::Arc;

/// The daemons as one of them sees them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberView {
    /// This daemon.
    pub own: Option<MemberRow>,
    /// Other daemons, dead ones included, in the order of their names.
    pub others: Vec<MemberRow>,
    /// Members that the platform's list says are leaving.
    pub listed_leaving: Vec<InstanceId>,
    /// True when this daemon reaches no other, though several are listed.
    pub isolated: bool,
}

impl MemberView {
    /// Other daemons that are alive, suspects included, for calls between daemons.
    pub fn live_peers(&self) -> impl Iterator<Item = &MemberRow> {
        self.others
            .iter()
            .filter(|row| row.state <= MemberState::Suspect)
    }

    /// Daemons that callers may be sent to: alive, ready and not leaving by any source.
    pub fn serving_daemons(&self) -> impl Iterator<Item = &MemberRow> {
        self.own
            .iter()
            .chain(&self.others)
            .filter(|row| row.state <= MemberState::Suspect && row.ready)
            .filter(|row| !self.listed_leaving.contains(&row.instance))
    }

    /// Number of members in a state, this daemon included.
    pub fn count(&self, state: MemberState) -> usize {
        let rows = self.own.iter().chain(&self.others);
        rows.filter(|row| row.state == state).count()
    }
}

/// Holds the newest view.
#[derive(Debug, Default)]
pub struct MemberViewCell {
    current: ArcSwap<MemberView>,
}

impl MemberViewCell {
    /// The newest view.
    pub fn load(&self) -> Arc<MemberView> {
        self.current.load_full()
    }

    /// Publishes a view.
    pub fn publish(&self, view: MemberView) {
        self.current.store(Arc::new(view));
    }

    /// Other daemons that are alive, suspects included.
    pub fn live_peers(&self) -> Vec<MemberRow> {
        self.load().live_peers().cloned().collect()
    }
}
