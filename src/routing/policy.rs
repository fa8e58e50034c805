//! Policies that choose a chain over one graph: each is a cost of a stage and a way to search.

use crate::ids::InstanceId;
use crate::routing::{FlowWeights, ModelGraph, PolicyName, StageEdge, StepTiming};
use crate::units::MonoTime;
use std::sync::atomic::Ordering;

/// Factor on the cost of an engine without the request's KV cache when another one has it.
const COLD_FACTOR: f64 = 2.0;
/// Cost of each request on an engine for one that wants to run alone, in microseconds.
const BUSY_MICROS: f64 = 1e9;
/// Draws of a stage at one boundary before the draw of a chain is given up.
const MAX_DRAWS: usize = 4;

/// What a chain is wanted for.
#[derive(Debug, Clone, Copy)]
pub struct ChainQuery<'a> {
    /// Engines that must not be used.
    pub excluded: &'a [InstanceId],
    /// Engines that hold KV cache of the request and are preferred.
    pub warm: &'a [InstanceId],
    /// True to use engines that are closed after failures too, as nothing else is left.
    pub ignore_health: bool,
    /// True to prefer engines without any request of this daemon.
    pub isolated: bool,
    /// Time now.
    pub now: MonoTime,
}

/// Outcome of choosing a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChainChoice {
    /// Indexes of the graph's stages, in layer order.
    Chain(Vec<usize>),
    /// Every chain uses an engine that another request has reserved for a short time.
    Reserved,
    /// No usable engine holds the layers from here on.
    NoChain {
        /// First layer that cannot be reached.
        missing: u32,
    },
}

/// Whether an engine can be used for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EdgeState {
    Open,
    Reserved,
    Closed,
}

impl ChainQuery<'_> {
    fn state(&self, edge: &StageEdge) -> EdgeState {
        let target = &edge.target;
        let usable = self.ignore_health
            || (target.health.admits(self.now) && target.is_ready(edge.stage_key));
        if target.is_leaving() || !usable || self.excluded.contains(&target.instance) {
            EdgeState::Closed
        } else if target.is_reserved(self.now) {
            EdgeState::Reserved
        } else {
            EdgeState::Open
        }
    }

    fn is_open(&self, edge: &StageEdge) -> bool {
        self.state(edge) == EdgeState::Open
    }

    fn cold_factor(&self, edge: &StageEdge) -> f64 {
        let is_cold = !self.warm.is_empty() && !self.warm.contains(&edge.target.instance);
        if is_cold { COLD_FACTOR } else { 1.0 }
    }
}

/// Expected time of one more request's token on a stage, in microseconds.
pub fn expected_token_micros(query: &ChainQuery<'_>, edge: &StageEdge) -> f64 {
    let micros = edge.target.read_load(|load, sessions| {
        StepTiming::from_report(load.map(|load| &*load.report)).token_micros(sessions + 1)
    });
    let slow_start = edge.target.health.slow_start_factor(query.now);
    micros * edge.layer_share * slow_start * query.cold_factor(edge)
}

/// Requests that this daemon has in progress on a stage's engine, with one more.
fn own_requests(query: &ChainQuery<'_>, edge: &StageEdge) -> f64 {
    f64::from(edge.target.in_flight() + 1) * query.cold_factor(edge)
}

/// Requests estimated to be in progress on a stage's engine, with one more.
fn all_requests(query: &ChainQuery<'_>, edge: &StageEdge) -> f64 {
    f64::from(edge.target.sessions() + 1) * query.cold_factor(edge)
}

/// Chooses a chain by `policy`. A resumed request goes by expected time, so that it finds back to
/// the engines that hold its KV cache.
pub fn choose_chain(
    graph: &ModelGraph,
    query: &ChainQuery<'_>,
    policy: PolicyName,
    rng: &mut fastrand::Rng,
) -> ChainChoice {
    let expected = |edge: &StageEdge| expected_token_micros(query, edge);
    if query.isolated {
        return shortest_chain(graph, query, rng, |edge| {
            BUSY_MICROS * f64::from(edge.target.in_flight()) + expected(edge)
        });
    }
    if !query.warm.is_empty() {
        return shortest_chain(graph, query, rng, expected);
    }
    let drawn = match policy {
        PolicyName::ExpectedTime => return shortest_chain(graph, query, rng, expected),
        PolicyName::LeastInFlight => {
            return shortest_chain(graph, query, rng, |edge| own_requests(query, edge));
        }
        PolicyName::RoundRobin => next_in_turn(graph, query),
        PolicyName::TwoChoices => better_of_two(graph, query, rng, draw_evenly, |edge| {
            all_requests(query, edge)
        }),
        PolicyName::FlowWeighted => {
            let weights = graph.weights();
            let weights = weights.as_deref();
            let draw = |graph: &ModelGraph, boundary, rng: &mut fastrand::Rng| {
                draw_by_flow(graph, weights, boundary, rng)
            };
            better_of_two(graph, query, rng, draw, expected)
        }
    };
    // A draw can run into engines that are closed; the search finds a chain if there is one.
    drawn.map_or_else(
        || shortest_chain(graph, query, rng, expected),
        ChainChoice::Chain,
    )
}

/// The open engine that follows the last one used, at each boundary.
fn next_in_turn(graph: &ModelGraph, query: &ChainQuery<'_>) -> Option<Vec<usize>> {
    let mut chain = Vec::new();
    let mut at = 0;
    while at < graph.last_boundary() {
        let range = graph.edges_from(at);
        let count = range.len().max(1);
        let first = graph.turns[at].fetch_add(1, Ordering::Relaxed);
        let mut turns = (0..range.len()).map(|step| range.start + (first + step) % count);
        let index = turns.find(|index| query.is_open(&graph.edges()[*index]))?;
        chain.push(index);
        at = graph.edges()[index].end_boundary;
    }
    Some(chain)
}

fn draw_evenly(graph: &ModelGraph, boundary: usize, rng: &mut fastrand::Rng) -> Option<usize> {
    let range = graph.edges_from(boundary);
    (!range.is_empty()).then(|| rng.usize(range))
}

fn draw_by_flow(
    graph: &ModelGraph,
    weights: Option<&FlowWeights>,
    boundary: usize,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    match weights {
        Some(weights) => weights.pick(graph, boundary, rng.f64()),
        None => draw_evenly(graph, boundary, rng),
    }
}

/// Draws two chains and returns the cheaper one. Two draws spread the requests of several daemons
/// that read one stale report, where the single best choice would send them all to one engine.
fn better_of_two<D, C>(
    graph: &ModelGraph,
    query: &ChainQuery<'_>,
    rng: &mut fastrand::Rng,
    draw: D,
    cost: C,
) -> Option<Vec<usize>>
where
    D: Fn(&ModelGraph, usize, &mut fastrand::Rng) -> Option<usize>,
    C: Fn(&StageEdge) -> f64,
{
    let mut chain = Vec::new();
    let mut at = 0;
    while at < graph.last_boundary() {
        let first = draw_open(graph, query, rng, &draw, at)?;
        let second = draw_open(graph, query, rng, &draw, at)?;
        let edges = graph.edges();
        // Stages that end at different layers compare by their time for each layer.
        let per_layer =
            |index: usize| cost(&edges[index]) / f64::from(edges[index].stage.layers.len());
        let index = if first == second || per_layer(first) <= per_layer(second) {
            first
        } else {
            second
        };
        chain.push(index);
        at = edges[index].end_boundary;
    }
    Some(chain)
}

fn draw_open<D>(
    graph: &ModelGraph,
    query: &ChainQuery<'_>,
    rng: &mut fastrand::Rng,
    draw: &D,
    boundary: usize,
) -> Option<usize>
where
    D: Fn(&ModelGraph, usize, &mut fastrand::Rng) -> Option<usize>,
{
    let mut draws = (0..MAX_DRAWS).filter_map(|_| draw(graph, boundary, rng));
    draws.find(|index| query.is_open(&graph.edges()[*index]))
}

/// Least cost of reaching a boundary, and the stage that reaches it.
#[derive(Debug, Clone, Copy)]
struct BestStep {
    cost: f64,
    edge: usize,
    from: usize,
}

const UNREACHED: BestStep = BestStep {
    cost: f64::INFINITY,
    edge: 0,
    from: 0,
};

/// The chain with the least total cost. Boundaries are in layer order, so one pass finds it.
fn shortest_chain<C>(
    graph: &ModelGraph,
    query: &ChainQuery<'_>,
    rng: &mut fastrand::Rng,
    cost: C,
) -> ChainChoice
where
    C: Fn(&StageEdge) -> f64,
{
    let mut best = vec![UNREACHED; graph.last_boundary() + 1];
    best[0].cost = 0.0;
    let (mut farthest, mut is_reserved) = (0, false);
    for at in 0..graph.last_boundary() {
        if best[at].cost.is_infinite() {
            continue;
        }
        farthest = at;
        let range = graph.edges_from(at);
        // Starting at random spreads requests over engines that cost the same.
        let turn = if range.is_empty() {
            0
        } else {
            rng.usize(..range.len())
        };
        for index in (range.start + turn..range.end).chain(range.start..range.start + turn) {
            let edge = &graph.edges()[index];
            match query.state(edge) {
                EdgeState::Closed => {}
                EdgeState::Reserved => is_reserved = true,
                EdgeState::Open => {
                    let total = best[at].cost + cost(edge);
                    if total < best[edge.end_boundary].cost {
                        best[edge.end_boundary] = BestStep {
                            cost: total,
                            edge: index,
                            from: at,
                        };
                    }
                }
            }
        }
    }
    if best[graph.last_boundary()].cost.is_infinite() {
        return if is_reserved {
            ChainChoice::Reserved
        } else {
            let missing = graph.boundaries()[farthest];
            ChainChoice::NoChain { missing }
        };
    }
    ChainChoice::Chain(trace_back(&best))
}

fn trace_back(best: &[BestStep]) -> Vec<usize> {
    let mut chain = Vec::new();
    let mut at = best.len() - 1;
    while at > 0 {
        chain.push(best[at].edge);
        at = best[at].from;
    }
    chain.reverse();
    chain
}
