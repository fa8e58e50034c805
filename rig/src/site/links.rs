//! The links from one daemon to all servers, which can fail together.

use crate::fleet::free_address;
use crate::proxy::{ConnectFault, DirectionFault, FaultProxy, ProxyFaults};
use async_std::task;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// State of the links.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkState {
    /// They work.
    #[default]
    Open,
    /// Nothing passes, and new connections hang.
    Silent,
    /// Connections were reset, and new ones are refused.
    Reset,
    /// Connections live on, and new ones are refused.
    Refusing,
}

impl LinkState {
    fn connect_fault(self) -> ConnectFault {
        match self {
            Self::Open => ConnectFault::None,
            Self::Silent => ConnectFault::Hang,
            Self::Reset | Self::Refusing => ConnectFault::Refuse,
        }
    }

    fn faults(self) -> ProxyFaults {
        let direction = match self {
            Self::Silent => DirectionFault::Hold,
            Self::Open | Self::Reset | Self::Refusing => DirectionFault::Pass,
        };
        ProxyFaults {
            to_target: direction,
            to_caller: direction,
            refuse: false,
        }
    }
}

#[derive(Debug, Default)]
struct LinkTable {
    state: LinkState,
    by_server: HashMap<SocketAddr, FaultProxy>,
}

/// The links of one daemon, each a proxy in front of one server; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct ServerLinks {
    table: Arc<Mutex<LinkTable>>,
}

impl ServerLinks {
    /// Address of the proxy in front of the server at `address`.
    ///
    /// # Panics
    /// When no loopback address is free.
    pub fn front(&self, address: SocketAddr) -> SocketAddr {
        let mut table = self.lock();
        if let Some(link) = table.by_server.get(&address) {
            return link.address();
        }
        let started = FaultProxy::start_faithful(free_address(), address, None);
        let link = task::block_on(started).expect("a loopback address is free");
        set_link(&link, table.state);
        let front = link.address();
        table.by_server.insert(address, link);
        front
    }

    /// Changes the state of all links.
    pub fn set_state(&self, state: LinkState) {
        let mut table = self.lock();
        table.state = state;
        for link in table.by_server.values() {
            set_link(link, state);
        }
    }

    fn lock(&self) -> MutexGuard<'_, LinkTable> {
        self.table.lock().expect("links are never poisoned")
    }
}

fn set_link(link: &FaultProxy, state: LinkState) {
    link.set_faults(state.faults());
    let changed = task::block_on(link.set_connect_fault(state.connect_fault()));
    changed.expect("the address of a link stays free");
    if state == LinkState::Reset {
        link.reset_connections();
    }
}
