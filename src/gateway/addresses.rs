//! Response to a caller that asks which daemons to use.

use crate::kernel::DaemonPhase;
use crate::presence::PresenceRow;
use crate::relay::RelayContext;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 64;
/// Time for which callers may cache a response. Some callers cache it for up to three times as
/// long, and a draining daemon accepts requests until then; the last of them must still end within
/// the grace period.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(1);

/// Addresses of daemons for a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressReply {
    /// Addresses on which the daemons serve callers.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the caller may cache the response.
    pub lifetime: Duration,
}

impl AddressReply {
    /// Builds the response for a caller in `domain`. `None` when no daemon is known to serve.
    pub fn for_caller(context: &RelayContext, domain: Option<&str>) -> Option<Self> {
        let usable = |row: &PresenceRow| is_usable(context, row);
        let mut addresses = context
            .presence
            .addresses_for(domain, MAX_ADDRESSES, usable);
        let local = context.settings.listen.callers;
        match context.lifecycle.phase() {
            DaemonPhase::Ready if addresses.is_empty() => addresses.push(local),
            DaemonPhase::Draining => addresses.retain(|address| *address != local),
            _ => {}
        }
        let longest = Duration::from_secs_f64(context.bounds().address_keep_s);
        (!addresses.is_empty()).then_some(Self {
            addresses,
            lifetime: ADDRESS_LIFETIME.min(longest),
        })
    }
}

/// Decides whether to name a daemon in this response: not while it reaches no target, and in a rising
/// share of the responses once it does again.
fn is_usable(context: &RelayContext, row: &PresenceRow) -> bool {
    let now = context.clock.now();
    let share = if row.instance == context.settings.instance {
        context.reach.named_share(now)
    } else {
        context.peer_reach.named_share(row.peers, now)
    };
    fastrand::f64() < share
}
