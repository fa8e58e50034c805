//! Reads the instance list and publishes it to the request path.

use crate::config::EngineCapacity;
use crate::http::{ConnectionPool, HttpCall, SendError};
use crate::ids::{DomainId, InstanceId, ServiceId};
use arc_swap::ArcSwap;
use http_types::Method;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Result of reading the instance list.
pub type Result<T> = std::result::Result<T, SendError>;

/// What an instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// A daemon of this system.
    Router,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// State of an instance, as the platform sees it with a lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Running.
    Live,
    /// Shutting down; gets no new work.
    Leaving,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceRow {
    /// Name.
    pub instance: InstanceId,
    /// Address for callers of the instance.
    pub address: SocketAddr,
    /// Address for other daemons, for routers only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// What it is.
    pub role: InstanceRole,
    /// Failure domain.
    pub failure_domain: DomainId,
    /// State.
    pub state: InstanceState,
    /// Accelerator memory in bytes, for engines.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Service that it runs, for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
}

/// The instance list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceList {
    /// Instances, in no particular order.
    pub instances: Vec<InstanceRow>,
}

impl InstanceList {
    /// Live instances of a role.
    pub fn live(&self, role: InstanceRole) -> impl Iterator<Item = &InstanceRow> {
        let is_live =
            move |row: &&InstanceRow| row.role == role && row.state == InstanceState::Live;
        self.instances.iter().filter(is_live)
    }

    /// Live instances of a plain service.
    pub fn service_targets<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a InstanceRow> {
        self.live(InstanceRole::Service)
            .filter(move |row| row.service.as_ref() == Some(service))
    }

    /// Live engines as offers of capacity.
    pub fn engine_capacities(&self) -> Vec<EngineCapacity> {
        let offer = |row: &InstanceRow| EngineCapacity {
            instance: row.instance.clone(),
            address: row.address,
            domain: row.failure_domain.clone(),
            memory_bytes: row.memory_bytes,
        };
        self.live(InstanceRole::Engine).map(offer).collect()
    }
}

/// Client of the instance list.
#[derive(Debug, Clone)]
pub struct InstanceClient {
    pool: Arc<ConnectionPool>,
    address: SocketAddr,
    timeout: Duration,
}

impl InstanceClient {
    /// Creates a client. `timeout` bounds each call.
    pub fn new(pool: Arc<ConnectionPool>, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            pool,
            address,
            timeout,
        }
    }

    /// Reads the whole list.
    ///
    /// # Errors
    /// [`SendError`] when there is no list to be had.
    pub async fn read(&self) -> Result<InstanceList> {
        let call = HttpCall::new(self.address, Method::Get, "/v1/instances").timeout(self.timeout);
        let (_status, list) = self.pool.fetch(&call).await?;
        Ok(list)
    }
}

/// The newest instance list read; readers never wait.
#[derive(Debug, Default)]
pub struct InstanceListCell {
    current: ArcSwap<InstanceList>,
}

impl InstanceListCell {
    /// The newest list.
    pub fn load(&self) -> Arc<InstanceList> {
        self.current.load_full()
    }

    /// Publishes a list.
    pub fn publish(&self, list: InstanceList) {
        self.current.store(Arc::new(list));
    }
}
