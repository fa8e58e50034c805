//! The answer to the question which daemons to use.

use crate::kernel::DaemonPhase;
use crate::relay::RelayContext;
use std::net::SocketAddr;
use std::time::Duration;

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;
/// Time for which callers may keep an answer. Some keep it three times as long, and a daemon that shuts
/// down takes requests until then: what it takes last must still end within the grace time.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(1);

/// Addresses for a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressReply {
    /// Where to connect.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the answer may be kept.
    pub lifetime: Duration,
}

impl AddressReply {
    /// The answer for a caller in `domain`; `None` when no daemon is known to serve.
    pub fn for_caller(context: &RelayContext, domain: Option<&str>) -> Option<Self> {
        let mut addresses = context.presence.addresses_for(domain, MAX_ADDRESSES);
        let own = context.settings.listen.callers;
        match context.lifecycle.phase() {
            DaemonPhase::Ready if addresses.is_empty() => addresses.push(own),
            DaemonPhase::Draining => addresses.retain(|address| *address != own),
            _ => {}
        }
        let longest = Duration::from_secs_f64(context.bounds().address_keep_s);
        (!addresses.is_empty()).then_some(Self {
            addresses,
            lifetime: ADDRESS_LIFETIME.min(longest),
        })
    }
}
