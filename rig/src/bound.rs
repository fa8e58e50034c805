//! Upper bound of the throughput that the hardware allows: the maximum flow through the graph of
//! layers, with the rates of engines at their largest batch and the rates of links as capacities.

use crate::engine::{EngineKnobs, LinkKnobs};
use arbutusmount::{InstanceId, LayerRange};
use pathfinding::directed::edmonds_karp::edmonds_karp_dense;

/// Mean work for each generated token of the workload.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenWork {
    /// Prompt tokens for each generated token.
    pub prompt_ratio: f64,
}

/// Layers and rate of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct StageRate {
    /// Engine.
    pub instance: InstanceId,
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Rate of one layer at the largest batch, in tokens per second.
    pub layer_rate: f64,
}

impl StageRate {
    /// Computes the rate of an engine from its knobs.
    pub fn new(
        instance: InstanceId,
        layers: LayerRange,
        knobs: &EngineKnobs,
        work: TokenWork,
    ) -> Self {
        let batch = knobs.max_batch.max(1) as f64;
        let step = knobs.layer_micros as f64 + knobs.item_micros as f64 * (batch - 1.0);
        // Each generated token enters the cache as one token to prefill, as prompt tokens do.
        let prefill = knobs.prefill_micros as f64 * (1.0 + work.prompt_ratio);
        let micros = (step / batch + prefill) * knobs.slow_percent as f64 / 100.0;
        Self {
            instance,
            layers,
            layer_rate: 1e6 / micros,
        }
    }

    /// Rate of the engine when every token enters at layer `from`, in tokens per second.
    fn rate_from(&self, from: u32) -> f64 {
        self.layer_rate / f64::from(self.layers.to - from)
    }
}

/// Rate of one link, in generated tokens per second.
pub fn link_rate(link: LinkKnobs, work: TokenWork) -> f64 {
    if link.per_second <= 0.0 {
        f64::from(u32::MAX)
    } else {
        link.per_second / (1.0 + work.prompt_ratio)
    }
}

/// Flow units per token per second; the algorithm needs a totally ordered number type, such as
/// `i64`.
const FLOW_SCALE: f64 = 1_000.0;
/// Index of the source vertex. After the sink follow the vertices of the engines: an entry and an
/// exit for each.
const SOURCE: usize = 0;
/// Index of the sink vertex.
const SINK: usize = 1;
/// Capacity of an edge without a limit.
const UNLIMITED: i64 = i64::MAX / 1_000_000;

fn entry_of(index: usize) -> usize {
    2 + 2 * index
}

fn exit_of(index: usize) -> usize {
    3 + 2 * index
}

/// Converts a rate to flow units.
fn scale(rate: f64) -> i64 {
    (rate * FLOW_SCALE) as i64
}

/// Steps of the binary search for the layer bound.
const SEARCH_STEPS: u32 = 40;

/// Largest throughput, in tokens per second: the lower one of two upper bounds. The path bound is
/// exact when the layer ranges of engines join end to end; the layer bound is tighter when tokens
/// can enter engines in the middle of their ranges. `link` returns the rate from one engine to
/// another.
pub fn flow_bound(
    layers: u32,
    stages: &[StageRate],
    link: impl Fn(&InstanceId, &InstanceId) -> f64,
) -> f64 {
    path_bound(layers, stages, link).min(layer_bound(layers, stages))
}

/// Maximum flow from layer 0 to `layers`. A token leaves an engine at the end of its range and
/// enters the next one anywhere within its range. An engine that tokens can enter at several layers
/// counts with the rate from the last of these.
fn path_bound(
    layers: u32,
    stages: &[StageRate],
    link: impl Fn(&InstanceId, &InstanceId) -> f64,
) -> f64 {
    let mut edges = Vec::new();
    for (index, stage) in stages.iter().enumerate() {
        let mut last_entry = None;
        if stage.layers.from == 0 {
            edges.push(((SOURCE, entry_of(index)), UNLIMITED));
            last_entry = Some(0);
        }
        for (previous_index, previous) in stages.iter().enumerate() {
            let at = previous.layers.to;
            if stage.layers.from <= at && at < stage.layers.to {
                let rate = link(&previous.instance, &stage.instance);
                edges.push(((exit_of(previous_index), entry_of(index)), scale(rate)));
                last_entry = last_entry.max(Some(at));
            }
        }
        if let Some(from) = last_entry {
            let rate = scale(stage.rate_from(from));
            edges.push(((entry_of(index), exit_of(index)), rate));
        }
        if stage.layers.to == layers {
            edges.push(((exit_of(index), SINK), UNLIMITED));
        }
    }
    max_flow(2 + 2 * stages.len(), edges) as f64 / FLOW_SCALE
}

/// Largest rate at which every layer can run once for each token, with each engine dividing its
/// time among the layers that it holds. Links and the order of layers are ignored.
fn layer_bound(layers: u32, stages: &[StageRate]) -> f64 {
    let (mut low, mut high) = (
        0.0,
        stages.iter().map(|stage| stage.layer_rate).sum::<f64>(),
    );
    for _ in 0..SEARCH_STEPS {
        let middle = f64::midpoint(low, high);
        if is_feasible(layers, stages, middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// True when the engines together can run each layer at `rate` tokens per second.
fn is_feasible(layers: u32, stages: &[StageRate], rate: f64) -> bool {
    let layer_vertex = |layer: u32| 2 + stages.len() + layer as usize;
    let mut edges = Vec::new();
    for (index, stage) in stages.iter().enumerate() {
        edges.push(((SOURCE, 2 + index), scale(stage.layer_rate)));
        let held = stage.layers.from..stage.layers.to.min(layers);
        edges.extend(held.map(|layer| ((2 + index, layer_vertex(layer)), UNLIMITED)));
    }
    let needed = scale(rate);
    edges.extend((0..layers).map(|layer| ((layer_vertex(layer), SINK), needed)));
    let total = max_flow(2 + stages.len() + layers as usize, edges);
    total >= needed * i64::from(layers)
}

fn max_flow(vertices: usize, edges: Vec<((usize, usize), i64)>) -> i64 {
    let vertices: Vec<usize> = (0..vertices).collect();
    let (_flows, total, _cut) = edmonds_karp_dense(&vertices, &SOURCE, &SINK, edges);
    total
}
