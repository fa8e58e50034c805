//! Demand by service and priority, as daemons announce it to each other.

use crate::admission::PriorityDemand;
use crate::hash::stable_hash;
use crate::ids::ServiceId;
use arc_swap::ArcSwap;
use prost::Message;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Demand for one service at one priority.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct PriorityDemandRow {
    /// Hash of the service's name, see [`service_hash`].
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// Priority, 0 is the highest.
    #[prost(uint32, tag = "2")]
    pub priority: u32,
    /// Expected tokens of the requests that arrive in a second.
    #[prost(uint32, tag = "3")]
    pub tokens_per_second: u32,
    /// Expected tokens of the requests that wait for capacity.
    #[prost(uint32, tag = "4")]
    pub waiting_tokens: u32,
}

/// Hash of a service's name, the same in all daemons.
pub fn service_hash(service: &ServiceId) -> u64 {
    stable_hash(&[b"service", service.as_str().as_bytes()])
}

/// Rows that announce the demand for a service.
pub fn demand_rows(
    service: &ServiceId,
    demand: &BTreeMap<u8, PriorityDemand>,
) -> Vec<PriorityDemandRow> {
    let rows = demand.iter().map(|(priority, demand)| PriorityDemandRow {
        service: service_hash(service),
        priority: u32::from(*priority),
        tokens_per_second: demand.tokens_per_second as u32,
        waiting_tokens: demand.waiting_tokens as u32,
    });
    rows.filter(|row| row.tokens_per_second > 0 || row.waiting_tokens > 0)
        .collect()
}

/// Sums of the demand of several daemons, by the hash of the service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DemandTotals {
    services: HashMap<u64, BTreeMap<u8, PriorityDemand>>,
}

impl DemandTotals {
    /// Adds the demand that a daemon announces. Rows with a priority that does not exist are ignored.
    pub fn add(&mut self, row: &PriorityDemandRow) {
        let Ok(priority) = u8::try_from(row.priority) else {
            return;
        };
        let service = self.services.entry(row.service).or_default();
        let demand = service.entry(priority).or_default();
        demand.tokens_per_second += f64::from(row.tokens_per_second);
        demand.waiting_tokens += f64::from(row.waiting_tokens);
    }

    /// The sums for a service, with the demand at this daemon added.
    pub fn with_local(
        &self,
        service: &ServiceId,
        local: &BTreeMap<u8, PriorityDemand>,
    ) -> BTreeMap<u8, PriorityDemand> {
        let known = self.services.get(&service_hash(service));
        let mut sums = known.cloned().unwrap_or_default();
        for (priority, demand) in local {
            let sum = sums.entry(*priority).or_default();
            sum.tokens_per_second += demand.tokens_per_second;
            sum.waiting_tokens += demand.waiting_tokens;
        }
        sums
    }
}

/// Holds the latest sums of the other daemons.
#[derive(Debug, Default)]
pub struct DemandCell {
    current: ArcSwap<DemandTotals>,
}

impl DemandCell {
    /// Returns the latest sums.
    pub fn load(&self) -> Arc<DemandTotals> {
        self.current.load_full()
    }

    /// Replaces the sums.
    pub fn publish(&self, totals: DemandTotals) {
        self.current.store(Arc::new(totals));
    }
}
