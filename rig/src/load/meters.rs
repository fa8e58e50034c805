//! Counts the traffic of daemons by proxies before what they talk to.

use crate::fleet::free_address;
use crate::proxy::FaultProxy;
use std::net::SocketAddr;

/// What a metered address belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TrafficGroup {
    /// Model engines.
    Engines,
    /// The key-value service and the instance list.
    Platform,
    /// Other daemons.
    Peers,
}

/// Proxies that count what passes; none when metering is off.
#[derive(Debug, Default)]
pub(crate) struct TrafficMeters {
    enabled: bool,
    proxies: Vec<(TrafficGroup, FaultProxy)>,
}

impl TrafficMeters {
    /// Creates meters; without `enabled`, addresses stay as they are.
    pub(super) fn new(enabled: bool) -> Self {
        Self {
            enabled,
            proxies: Vec::new(),
        }
    }

    /// The address through which `target` is metered.
    pub(super) async fn metered_address(
        &mut self,
        group: TrafficGroup,
        target: SocketAddr,
    ) -> Result<SocketAddr, String> {
        if !self.enabled {
            return Ok(target);
        }
        let proxy = FaultProxy::start(free_address(), target).await;
        let proxy = proxy.map_err(|cause| cause.to_string())?;
        let address = proxy.address();
        self.proxies.push((group, proxy));
        Ok(address)
    }

    /// Bytes of a group so far, both directions together.
    pub(crate) fn bytes(&self, group: TrafficGroup) -> u64 {
        let own = self.proxies.iter().filter(|(of, _)| *of == group);
        own.map(|(_, proxy)| proxy.forwarded_bytes()).sum()
    }
}
