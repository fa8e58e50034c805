//! The target list and the publication of views of it.

use crate::gateway::targets::TargetRegistry;
use crate::targets::{TargetEntry, TargetView, ViewCell};
use std::sync::{Arc, Mutex, MutexGuard};

/// The target list, which several tasks change and publish.
#[derive(Debug)]
pub struct TargetPublisher {
    registry: Mutex<TargetRegistry>,
}

impl TargetPublisher {
    /// Creates a publisher of this list.
    pub fn new(registry: TargetRegistry) -> Self {
        Self {
            registry: Mutex::new(registry),
        }
    }

    /// Changes the list; nothing is published.
    pub fn update<T>(&self, change: impl FnOnce(&mut TargetRegistry) -> T) -> T {
        change(&mut self.lock())
    }

    /// Builds a view of the present entries and publishes it. The list is locked meanwhile, so that
    /// of several tasks the last one publishes the latest entries.
    pub fn publish(
        &self,
        cell: &ViewCell,
        build: impl FnOnce(Vec<Arc<TargetEntry>>) -> TargetView,
    ) {
        let registry = self.lock();
        cell.publish(build(registry.entries()));
    }

    fn lock(&self) -> MutexGuard<'_, TargetRegistry> {
        self.registry.lock().expect("target lock is never poisoned")
    }
}
