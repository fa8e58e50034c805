//! Counts the traffic of daemons with proxies in front of their peers, the engines and the
//! platform.

use crate::fleet::free_address;
use crate::proxy::FaultProxy;
use std::net::SocketAddr;

/// Group of addresses whose traffic is counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TrafficGroup {
    /// Engines.
    Engines,
    /// The store and the instance list.
    Platform,
    /// Peer addresses of the daemons.
    Peers,
}

/// Proxies that count the bytes that pass; there are none when metering is disabled.
#[derive(Debug, Default)]
pub(crate) struct TrafficMeters {
    enabled: bool,
    proxies: Vec<(TrafficGroup, FaultProxy)>,
}

impl TrafficMeters {
    /// Creates meters. Unless `enabled`, no proxy is started and addresses stay as they are.
    pub(super) fn new(enabled: bool) -> Self {
        Self {
            enabled,
            proxies: Vec::new(),
        }
    }

    /// Starts a proxy in front of `target` and returns its address, or `target` itself when
    /// metering is disabled.
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

    /// Bytes that have passed to and from a group.
    pub(crate) fn bytes(&self, group: TrafficGroup) -> u64 {
        let proxies_of_group = self
            .proxies
            .iter()
            .filter(|(proxy_group, _)| *proxy_group == group);
        proxies_of_group
            .map(|(_, proxy)| proxy.forwarded_bytes())
            .sum()
    }
}
