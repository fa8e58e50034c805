//! Layer graph of a model: its vertices are boundaries between layers, its edges are stages on
//! engines. It is rebuilt when the configuration or the set of engines changes; requests read it
//! without locks.

use crate::config::ModelEntry;
use crate::engine::ChainStage;
use crate::ids::ModelId;
use crate::routing::{FlowWeights, StageKey, TargetState, TargetTable};
use crate::units::LayerRange;
use arc_swap::{ArcSwap, ArcSwapOption};
use std::collections::{BTreeSet, HashMap};
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

/// Stage that one engine can run.
#[derive(Debug)]
pub struct StageEdge {
    /// Index of the boundary where the stage ends.
    pub end_boundary: usize,
    /// Share of the engine's layers that the stage runs, above 0 and up to 1.
    pub layer_share: f64,
    /// Stage as it is sent to the engine.
    pub stage: ChainStage,
    /// Layers that the engine holds.
    pub held_layers: LayerRange,
    /// Key of the stage that the engine must have loaded.
    pub stage_key: StageKey,
    /// State of the engine.
    pub target: Arc<TargetState>,
}

/// Layer graph of one model.
#[derive(Debug)]
pub struct ModelGraph {
    entry: Arc<ModelEntry>,
    /// Version of the target table that the graph was built from.
    version: u64,
    boundaries: Vec<u32>,
    edges: Vec<StageEdge>,
    /// Edges that start at each boundary, as a range of `edges`.
    starts: Vec<Range<usize>>,
    /// Round-robin cursor of each boundary.
    pub(super) cursors: Vec<AtomicUsize>,
    /// Flow weights, computed outside the request path.
    weights: ArcSwapOption<FlowWeights>,
}

impl ModelGraph {
    /// Builds the graph of a model. Placements on engines that are not in `targets` are left out.
    pub fn build(entry: &Arc<ModelEntry>, targets: &TargetTable) -> Self {
        let version = targets.version();
        let boundaries = find_boundaries(entry);
        let mut edges = Vec::new();
        let mut starts = Vec::new();
        for boundary in &boundaries {
            let first = edges.len();
            add_edges(entry, targets, &boundaries, *boundary, &mut edges);
            starts.push(first..edges.len());
        }
        let cursors = starts.iter().map(|_| AtomicUsize::new(0)).collect();
        Self {
            entry: Arc::clone(entry),
            version,
            boundaries,
            edges,
            starts,
            cursors,
            weights: ArcSwapOption::empty(),
        }
    }

    /// Model and placements that the graph was built from.
    pub fn entry(&self) -> &Arc<ModelEntry> {
        &self.entry
    }

    /// Layer at each boundary, ascending from 0 to the number of layers.
    pub fn boundaries(&self) -> &[u32] {
        &self.boundaries
    }

    /// All stages, ordered by the boundary where they start.
    pub fn edges(&self) -> &[StageEdge] {
        &self.edges
    }

    /// Indexes of the stages that start at a boundary.
    pub fn edges_from(&self, boundary: usize) -> Range<usize> {
        self.starts[boundary].clone()
    }

    /// Index of the last boundary.
    pub fn last_boundary(&self) -> usize {
        self.boundaries.len() - 1
    }

    /// Newest flow weights; `None` until some are published.
    pub fn weights(&self) -> Option<Arc<FlowWeights>> {
        self.weights.load_full()
    }

    /// Replaces the flow weights.
    pub fn publish_weights(&self, weights: FlowWeights) {
        self.weights.store(Some(Arc::new(weights)));
    }

    fn is_current(&self, entry: &Arc<ModelEntry>, version: u64) -> bool {
        Arc::ptr_eq(&self.entry, entry) && self.version == version
    }
}

fn find_boundaries(entry: &ModelEntry) -> Vec<u32> {
    let ends = entry.placements.iter().map(|row| row.layers.to);
    let inner = ends.filter(|layer| *layer < entry.spec.layers);
    let mut boundaries: BTreeSet<u32> = inner.collect();
    boundaries.extend([0, entry.spec.layers]);
    boundaries.into_iter().collect()
}

fn add_edges(
    entry: &ModelEntry,
    targets: &TargetTable,
    boundaries: &[u32],
    from: u32,
    edges: &mut Vec<StageEdge>,
) {
    let holds = |held: LayerRange| held.from <= from && from < held.to;
    for row in entry.placements.iter().filter(|row| holds(row.layers)) {
        let end = boundaries.binary_search(&row.layers.to);
        let (Ok(end), Some(target)) = (end, targets.get(&row.instance)) else {
            continue;
        };
        let layers = LayerRange::new(from, row.layers.to);
        edges.push(StageEdge {
            end_boundary: end,
            layer_share: f64::from(layers.len()) / f64::from(row.layers.len()),
            stage: ChainStage {
                instance: row.instance.clone(),
                address: target.address,
                layers,
            },
            held_layers: row.layers,
            stage_key: StageKey::new(&row.model, &row.version, row.layers),
            target,
        });
    }
}

/// Cache of the newest graph of each model.
#[derive(Debug, Default)]
pub struct GraphTable {
    current: ArcSwap<HashMap<ModelId, Arc<ModelGraph>>>,
}

impl GraphTable {
    /// Returns the graph of `entry` over the current engines. A cached graph that is out of date is
    /// rebuilt and replaced.
    pub fn graph(&self, entry: &Arc<ModelEntry>, targets: &TargetTable) -> Arc<ModelGraph> {
        let version = targets.version();
        let current = self.current.load();
        let known = current.get(&entry.spec.model);
        if let Some(graph) = known.filter(|graph| graph.is_current(entry, version)) {
            return Arc::clone(graph);
        }
        let graph = Arc::new(ModelGraph::build(entry, targets));
        self.current.rcu(|current| {
            let mut next = HashMap::clone(current);
            next.insert(entry.spec.model.clone(), Arc::clone(&graph));
            next
        });
        graph
    }
}
