//! Instance list of the platform: client, and cell that publishes the latest list to the request
//! path.

use crate::config::EngineCapacity;
use crate::http::{ConnectionPool, HttpCall, SendError};
use crate::ids::{DomainId, InstanceId, ServiceId};
use arc_swap::ArcSwap;
use http_types::Method;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Result of reading the instance list.
pub type Result<T> = std::result::Result<T, SendError>;

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// A router: a daemon of this system.
    Router,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// State of an instance, as listed by the platform with a lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Running.
    Live,
    /// Shutting down; must get no new work.
    Leaving,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceRow {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Address that callers of the instance connect to.
    pub address: SocketAddr,
    /// Address that other daemons connect to; routers only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// Role of the instance.
    pub role: InstanceRole,
    /// Failure domain of the instance.
    pub failure_domain: DomainId,
    /// State of the instance.
    pub state: InstanceState,
    /// Accelerator memory in bytes; engines only.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Service that the instance runs; plain services only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
}

/// The instance list. A row that cannot be read names no instance; the others hold. Can be decoded from JSON
/// only.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct InstanceList {
    /// Instances, in no particular order.
    pub instances: Vec<InstanceRow>,
    /// Why rows cannot be read, each beginning with its number in the list.
    #[serde(skip)]
    pub malformed: Vec<Arc<str>>,
}

/// The list before its rows are decoded.
#[derive(Deserialize)]
struct RawList {
    instances: Vec<Box<RawValue>>,
}

impl<'de> Deserialize<'de> for InstanceList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        let raw = RawList::deserialize(deserializer)?;
        let mut list = Self::default();
        for (number, row) in raw.instances.iter().enumerate() {
            match serde_json::from_str(row.get()) {
                Ok(row) => list.instances.push(row),
                Err(cause) => list
                    .malformed
                    .push(Arc::from(format!("row {number}: {cause}"))),
            }
        }
        Ok(list)
    }
}

impl InstanceList {
    /// Live instances with this role.
    pub fn live(&self, role: InstanceRole) -> impl Iterator<Item = &InstanceRow> {
        let is_live =
            move |row: &&InstanceRow| row.role == role && row.state == InstanceState::Live;
        self.instances.iter().filter(is_live)
    }

    /// Live instances of this plain service.
    pub fn service_targets<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a InstanceRow> {
        self.live(InstanceRole::Service)
            .filter(move |row| row.service.as_ref() == Some(service))
    }

    /// Address, failure domain and memory of each live engine, for the placement.
    pub fn engine_capacities(&self) -> Vec<EngineCapacity> {
        let capacity = |row: &InstanceRow| EngineCapacity {
            instance: row.instance.clone(),
            address: row.address,
            domain: row.failure_domain.clone(),
            memory_bytes: row.memory_bytes,
        };
        self.live(InstanceRole::Engine).map(capacity).collect()
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
    /// Creates a client of the instance list at `address`. `timeout` applies to each call.
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
    /// [`SendError`] when the list could not be read.
    pub async fn read(&self) -> Result<InstanceList> {
        let call = HttpCall::new(self.address, Method::Get, "/v1/instances").timeout(self.timeout);
        let (_status, list) = self.pool.fetch(&call).await?;
        Ok(list)
    }
}

/// The latest instance list. Loading it never blocks.
#[derive(Debug, Default)]
pub struct InstanceListCell {
    current: ArcSwap<InstanceList>,
}

impl InstanceListCell {
    /// The latest list; empty before the first one is published.
    pub fn load(&self) -> Arc<InstanceList> {
        self.current.load_full()
    }

    /// Replaces the list.
    pub fn publish(&self, list: InstanceList) {
        self.current.store(Arc::new(list));
    }
}
