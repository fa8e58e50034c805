//! Snapshots of all targets.

use crate::catalog::RoutingCatalog;
use crate::ids::{DomainId, InstanceId, ServiceId};
use crate::targets::chain::{LayerChain, find_chains};
use crate::targets::entry::TargetEntry;
use arc_swap::ArcSwap;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Snapshot of all targets and their chains.
#[derive(Debug, Default)]
pub struct TargetView {
    targets: HashMap<InstanceId, Arc<TargetEntry>>,
    by_run: HashMap<u64, Arc<TargetEntry>>,
    by_service: HashMap<ServiceId, Vec<Arc<TargetEntry>>>,
    chains: HashMap<ServiceId, Vec<Arc<LayerChain>>>,
}

impl TargetView {
    /// Indexes targets and finds the chains of each model service. Chains stay within a failure
    /// domain; chains across domains are used only where no domain holds a whole model.
    pub fn new(targets: Vec<Arc<TargetEntry>>, catalog: Option<&RoutingCatalog>) -> Self {
        let mut by_service: HashMap<ServiceId, Vec<Arc<TargetEntry>>> = HashMap::new();
        for target in &targets {
            by_service
                .entry(target.service.clone())
                .or_default()
                .push(Arc::clone(target));
        }
        for targets_of_service in by_service.values_mut() {
            targets_of_service.sort_by(|a, b| a.id.cmp(&b.id));
        }
        let mut chains = HashMap::new();
        for service in catalog.iter().flat_map(|catalog| catalog.services()) {
            if let (Some(model), Some(targets_of_service)) =
                (&service.model, by_service.get(&service.name))
            {
                chains.insert(
                    service.name.clone(),
                    model_chains(targets_of_service, model),
                );
            }
        }
        let by_run = targets
            .iter()
            .map(|target| (target.run_hash(), Arc::clone(target)))
            .collect();
        let targets = targets
            .into_iter()
            .map(|target| (target.id.clone(), target))
            .collect();
        Self {
            targets,
            by_run,
            by_service,
            chains,
        }
    }

    /// Looks up a target by its identity.
    pub fn target(&self, id: &InstanceId) -> Option<&Arc<TargetEntry>> {
        self.targets.get(id)
    }

    /// True when this run of a target is in the list.
    pub fn has_run(&self, target: &TargetEntry) -> bool {
        let listed = self.targets.get(&target.id);
        listed.is_some_and(|listed| listed.is_same_run(target))
    }

    /// Looks up a run of a target by its hash.
    pub fn run(&self, hash: u64) -> Option<&Arc<TargetEntry>> {
        self.by_run.get(&hash)
    }

    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<TargetEntry>> {
        self.targets.values()
    }

    /// Targets of a service, sorted by identity.
    pub fn service_targets(&self, service: &ServiceId) -> &[Arc<TargetEntry>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Number of chains of all services.
    pub fn chain_count(&self) -> usize {
        self.chains.values().map(Vec::len).sum()
    }

    /// Chains of all services.
    pub fn all_chains(&self) -> impl Iterator<Item = &Arc<LayerChain>> {
        self.chains.values().flatten()
    }

    /// Chains of a service, by failure domain and then fastest first.
    pub fn chains(&self, service: &ServiceId) -> &[Arc<LayerChain>] {
        self.chains.get(service).map_or(&[], Vec::as_slice)
    }
}

fn model_chains(
    targets_of_service: &[Arc<TargetEntry>],
    model: &crate::catalog::ModelShape,
) -> Vec<Arc<LayerChain>> {
    let domains: BTreeSet<&DomainId> = targets_of_service
        .iter()
        .map(|target| &target.domain)
        .collect();
    let inside = domains
        .iter()
        .flat_map(|domain| find_chains(targets_of_service, Some(domain), model));
    let mut found: Vec<LayerChain> = inside.collect();
    if found.is_empty() {
        found = find_chains(targets_of_service, None, model);
    }
    found.into_iter().map(Arc::new).collect()
}

/// Holds the latest snapshot.
#[derive(Debug, Default)]
pub struct ViewCell {
    current: ArcSwap<TargetView>,
}

impl ViewCell {
    /// Returns the latest snapshot.
    pub fn load(&self) -> Arc<TargetView> {
        self.current.load_full()
    }

    /// Replaces the snapshot.
    pub fn publish(&self, view: TargetView) {
        self.current.store(Arc::new(view));
    }
}
