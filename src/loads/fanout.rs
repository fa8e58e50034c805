//! Chooses which daemons a digest is sent to.
//!
//! Most of what a daemon reserves is at targets of its failure domain, and the daemons there choose
//! among the same targets. They get most digests, and every daemon of the other domains some.

use crate::hash::stable_hash;
use crate::ids::{DomainId, InstanceId};
use crate::presence::PresenceRow;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of daemons of the same failure domain that one digest is sent to. In larger domains,
/// consecutive digests go to consecutive groups of this size.
const LOCAL_FAN_OUT: usize = 12;
/// The same for the daemons of all other failure domains, traffic to which is expensive.
const REMOTE_FAN_OUT: usize = 4;

/// The other daemons, by whether they are in this daemon's failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerGroups {
    local: Vec<SocketAddr>,
    remote: Vec<SocketAddr>,
    origins: HashMap<SocketAddr, PeerOrigin>,
}

/// Where a digest comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerOrigin {
    /// A daemon of the same failure domain.
    Local,
    /// A daemon of another one.
    Remote,
    /// A daemon that is not listed.
    Unlisted,
}

impl PeerGroups {
    /// Groups the listed daemons as seen by the one with this name and failure domain.
    pub fn new<'a>(
        rows: impl Iterator<Item = &'a PresenceRow>,
        instance: &InstanceId,
        domain: &DomainId,
    ) -> Self {
        let others = rows.filter(|row| row.instance != *instance);
        let (local, remote): (Vec<_>, Vec<_>) = others.partition(|row| row.domain == *domain);
        let addresses = |rows: Vec<&PresenceRow>| rows.iter().map(|row| row.peers).collect();
        let mut local: Vec<SocketAddr> = addresses(local);
        let mut remote: Vec<SocketAddr> = addresses(remote);
        // Daemons that started together would all send to the same ones at the same time.
        let shift = stable_hash(&[b"digests", instance.as_str().as_bytes()]) as usize;
        for group in [&mut local, &mut remote] {
            let first = shift % group.len().max(1);
            group.rotate_left(first);
        }
        let locals = local.iter().map(|address| (*address, PeerOrigin::Local));
        let remotes = remote.iter().map(|address| (*address, PeerOrigin::Remote));
        Self {
            origins: locals.chain(remotes).collect(),
            local,
            remote,
        }
    }

    /// All other daemons.
    pub fn all(&self) -> impl Iterator<Item = SocketAddr> {
        self.local.iter().chain(&self.remote).copied()
    }

    /// Number of daemons of other failure domains.
    pub fn remote_count(&self) -> usize {
        self.remote.len()
    }

    /// Interval at which each daemon of the same failure domain gets a digest, given the period of
    /// sending.
    pub fn report_interval(&self, period: Duration) -> Duration {
        if self.local.len() + self.remote.len() <= LOCAL_FAN_OUT + REMOTE_FAN_OUT {
            return period;
        }
        period.max(period * self.local.len() as u32 / LOCAL_FAN_OUT as u32)
    }

    /// Daemons that the digest with this sequence number is sent to. A small fleet gets every digest.
    pub fn recipients(&self, sequence: u64) -> Vec<SocketAddr> {
        if self.local.len() + self.remote.len() <= LOCAL_FAN_OUT + REMOTE_FAN_OUT {
            return self.all().collect();
        }
        let mut recipients = group(&self.local, LOCAL_FAN_OUT, sequence);
        recipients.extend(group(&self.remote, REMOTE_FAN_OUT, sequence));
        recipients
    }

    /// Where a digest from this address comes from.
    pub fn origin(&self, from: SocketAddr) -> PeerOrigin {
        let origin = self.origins.get(&from);
        origin.copied().unwrap_or(PeerOrigin::Unlisted)
    }
}

/// The group of `size` daemons whose turn it is.
fn group(daemons: &[SocketAddr], size: usize, sequence: u64) -> Vec<SocketAddr> {
    let size = size.min(daemons.len());
    let offset = sequence as usize * size;
    (0..size)
        .map(|index| daemons[(offset + index) % daemons.len()])
        .collect()
}
