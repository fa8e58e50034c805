//! The throughput that the hardware allows: maximum flow through the graph of layers, from the
//! rates of engines at their largest batch and the rates of links.

use crate::engine::{EngineKnobs, LinkKnobs};
use arbutusmount::{InstanceId, LayerRange};
use pathfinding::directed::edmonds_karp::edmonds_karp_dense;

/// Work that goes with each generated token, as a mean over the workload.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenWork {
    /// Prompt tokens for each generated token.
    pub prompt_ratio: f64,
}

/// What one engine can do.
#[derive(Debug, Clone, PartialEq)]
pub struct StageRate {
    /// Engine.
    pub instance: InstanceId,
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Tokens a second through one layer at the largest batch.
    pub layer_rate: f64,
}

impl StageRate {
    /// The rate of an engine with these knobs.
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

    /// Tokens a second when every token enters at layer `from`.
    fn rate_from(&self, from: u32) -> f64 {
        self.layer_rate / f64::from(self.layers.to - from)
    }
}

/// Tokens a second over one link.
pub fn link_rate(link: LinkKnobs, work: TokenWork) -> f64 {
    if link.per_second <= 0.0 {
        f64::from(u32::MAX)
    } else {
        link.per_second / (1.0 + work.prompt_ratio)
    }
}

/// Flow in thousandths of a token a second, since the algorithm wants ordered numbers.
const FLOW_SCALE: f64 = 1_000.0;
/// Number of the source vertex; engines follow, each with an entry and an exit.
const SOURCE: usize = 0;
/// Number of the sink vertex.
const SINK: usize = 1;
/// Capacity of an edge that limits nothing.
const UNLIMITED: i64 = i64::MAX / 1_000_000;

fn entry_of(index: usize) -> usize {
    2 + 2 * index
}

fn exit_of(index: usize) -> usize {
    3 + 2 * index
}

fn scale(rate: f64) -> i64 {
    (rate * FLOW_SCALE) as i64
}

/// Steps of halving in the search for the layer bound.
const SEARCH_STEPS: u32 = 40;

/// Largest throughput, in tokens a second: the smaller one of two upper bounds. The path bound is
/// exact when the ranges of engines meet end to end; the layer bound is tighter when engines can be
/// entered within their ranges.
pub fn flow_bound(
    layers: u32,
    stages: &[StageRate],
    link: impl Fn(&InstanceId, &InstanceId) -> f64,
) -> f64 {
    path_bound(layers, stages, link).min(layer_bound(layers, stages))
}

/// Largest flow from layer 0 to `layers`. A token may leave an engine only at the end of its range
/// and may enter the next one anywhere within its range. An engine that can be entered at several
/// layers counts with the rate of its shortest part.
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
        for (other, before) in stages.iter().enumerate() {
            let at = before.layers.to;
            if stage.layers.from <= at && at < stage.layers.to {
                let rate = link(&before.instance, &stage.instance);
                edges.push(((exit_of(other), entry_of(index)), scale(rate)));
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

/// Largest rate at which every layer can run once for each token: engines share their time among
/// the layers that they hold. Links and the order of layers are left out.
fn layer_bound(layers: u32, stages: &[StageRate]) -> f64 {
    let (mut low, mut high) = (
        0.0,
        stages.iter().map(|stage| stage.layer_rate).sum::<f64>(),
    );
    for _ in 0..SEARCH_STEPS {
        let middle = f64::midpoint(low, high);
        if can_run(layers, stages, middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

fn can_run(layers: u32, stages: &[StageRate], rate: f64) -> bool {
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
