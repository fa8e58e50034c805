//! Long-run split of requests over the engines of a model: a maximum flow through its layer graph,
//! with the engines' token rates as capacities.

use crate::routing::{ModelGraph, StepTiming};
use crate::units::{LayerRange, MonoTime};
use pathfinding::directed::edmonds_karp::{Edge, edmonds_karp_sparse};
use std::collections::BTreeMap;

/// Share of an engine's rate that is added to its flow, so that every engine keeps getting
/// some requests.
const EXPLORE_SHARE: f64 = 0.02;

/// Selection weights of the stages, as prefix sums over the stages of each boundary.
#[derive(Debug, Clone, PartialEq)]
pub struct FlowWeights {
    /// Prefix sums in the order of the graph's stages; they restart at each boundary.
    prefix_sums: Vec<f64>,
    /// Highest throughput of the whole graph, in tokens per second.
    pub tokens_per_second: f64,
}

impl FlowWeights {
    /// Chooses one of the stages that start at `boundary` by its weight; `draw` is uniform in 0..1.
    /// `None` when no stage starts there.
    pub fn pick(&self, graph: &ModelGraph, boundary: usize, draw: f64) -> Option<usize> {
        let range = graph.edges_from(boundary);
        let prefix_sums = &self.prefix_sums[range.clone()];
        let total = *prefix_sums.last()?;
        let index = prefix_sums.partition_point(|sum| *sum <= draw * total);
        Some(range.start + index.min(prefix_sums.len() - 1))
    }
}

/// Vertex of the flow network.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum FlowVertex {
    /// A boundary between layers.
    Boundary(usize),
    /// Input of the engines that hold a layer range.
    Enter(LayerRange),
    /// Output of these engines.
    Leave(LayerRange),
}

/// Token rate of each edge's engine; zero for an engine that is leaving or ejected.
fn edge_rates(graph: &ModelGraph, now: MonoTime) -> Vec<f64> {
    let rate = |edge: &crate::routing::StageEdge| {
        if edge.target.is_leaving() || !edge.target.health.admits(now) {
            return 0.0;
        }
        edge.target.read_load(|load, _sessions| {
            StepTiming::from_report(load.map(|load| &*load.report)).tokens_per_second()
        })
    };
    graph.edges().iter().map(rate).collect()
}

/// Total token rate by layer range. Engines that hold the same range form one pair of vertices, so
/// the size of the network depends on the number of different ranges, not of engines.
fn group_rates(graph: &ModelGraph, rates: &[f64]) -> BTreeMap<LayerRange, f64> {
    let mut groups = BTreeMap::new();
    for (edge, rate) in graph.edges().iter().zip(rates) {
        let first = graph
            .boundaries()
            .partition_point(|layer| *layer < edge.held_layers.from);
        if graph.boundaries()[first] == edge.stage.layers.from {
            // An engine counts once, at the first boundary within its range.
            *groups.entry(edge.held_layers).or_insert(0.0) += rate;
        }
    }
    groups
}

/// Computes the weights of a graph's stages from a maximum flow.
pub fn compute_flow_weights(graph: &ModelGraph, now: MonoTime) -> FlowWeights {
    let rates = edge_rates(graph, now);
    let groups = group_rates(graph, &rates);
    let (flows, total) = solve_flow(graph, &groups);
    let mut prefix_sums = vec![0.0; rates.len()];
    for boundary in 0..graph.boundaries().len() {
        let mut sum = 0.0;
        for index in graph.edges_from(boundary) {
            let held = graph.edges()[index].held_layers;
            let group = groups.get(&held).copied().unwrap_or(0.0);
            let flow = flows.get(&(boundary, held)).copied().unwrap_or(0.0);
            let share = if group > 0.0 {
                rates[index] / group
            } else {
                0.0
            };
            sum += flow * share + EXPLORE_SHARE * rates[index];
            prefix_sums[index] = sum;
        }
    }
    FlowWeights {
        prefix_sums,
        tokens_per_second: total,
    }
}

type GroupFlows = BTreeMap<(usize, LayerRange), f64>;

fn solve_flow(graph: &ModelGraph, groups: &BTreeMap<LayerRange, f64>) -> (GroupFlows, f64) {
    let mut capacities: Vec<Edge<FlowVertex, i64>> = Vec::new();
    for (held, rate) in groups {
        let (enter, leave) = (FlowVertex::Enter(*held), FlowVertex::Leave(*held));
        capacities.push(((enter, leave), *rate as i64));
        for (index, layer) in graph.boundaries().iter().enumerate() {
            if held.from <= *layer && *layer < held.to {
                capacities.push(((FlowVertex::Boundary(index), enter), i64::MAX / 4));
            }
            if held.to == *layer {
                capacities.push(((leave, FlowVertex::Boundary(index)), i64::MAX / 4));
            }
        }
    }
    let boundaries = (0..graph.boundaries().len()).map(FlowVertex::Boundary);
    let pairs = groups
        .keys()
        .flat_map(|held| [FlowVertex::Enter(*held), FlowVertex::Leave(*held)]);
    let vertices: Vec<FlowVertex> = boundaries.chain(pairs).collect();
    let source = FlowVertex::Boundary(0);
    let sink = FlowVertex::Boundary(graph.last_boundary());
    let (flows, total, _cut) = edmonds_karp_sparse(&vertices, &source, &sink, capacities);
    let entering = flows
        .into_iter()
        .filter_map(|((from, to), flow)| match (from, to) {
            (FlowVertex::Boundary(index), FlowVertex::Enter(held)) => {
                Some(((index, held), flow as f64))
            }
            _ => None,
        });
    (entering.collect(), total as f64)
}
