//! Policies that choose a chain in a layer graph. Each policy is a cost of a stage together with a
//! search by that cost.

use crate::ids::InstanceId;
use crate::routing::{FlowWeights, ModelGraph, PolicyName, StageEdge, StepTiming};
use crate::units::MonoTime;
use std::sync::atomic::Ordering;

/// Factor on the cost of an engine without KV cache of the request, when other engines have it.
const COLD_CACHE_FACTOR: f64 = 2.0;
/// Cost that an isolated run adds for each request in flight on an engine, in microseconds, so that
/// it prefers idle engines.
const ISOLATION_COST_MICROS: f64 = 1e9;
/// Random draws at one boundary before the least-cost search is used instead.
const MAX_DRAWS: usize = 4;

/// Requirements on a chain, and the time of the choice.
#[derive(Debug, Clone, Copy)]
pub struct ChainQuery<'a> {
    /// Engines that must not be used.
    pub excluded: &'a [InstanceId],
    /// Engines that hold KV cache of the request and are preferred.
    pub warm: &'a [InstanceId],
    /// True to also use engines that are ejected or have not loaded the stage, when no other chain
    /// is left.
    pub ignore_health: bool,
    /// True to prefer engines without requests in flight from this daemon, for a request that may
    /// crash them.
    pub isolated: bool,
    /// Current time.
    pub now: MonoTime,
}

/// Outcome of choosing a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChainChoice {
    /// Indexes of the graph's stages, in layer order.
    Chain(Vec<usize>),
    /// Every usable chain contains an engine that is reserved for another request for a short time.
    Reserved,
    /// No usable engine holds the layers from some layer on.
    NoChain {
        /// First layer that no chain covers.
        missing: u32,
    },
}

/// Whether an engine can be used for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EdgeState {
    Usable,
    Reserved,
    Unusable,
}

impl ChainQuery<'_> {
    fn state(&self, edge: &StageEdge) -> EdgeState {
        let target = &edge.target;
        let usable = self.ignore_health
            || (target.health.admits(self.now) && target.is_ready(edge.stage_key));
        if target.is_leaving() || !usable || self.excluded.contains(&target.instance) {
            EdgeState::Unusable
        } else if target.is_reserved(self.now) {
            EdgeState::Reserved
        } else {
            EdgeState::Usable
        }
    }

    fn is_usable(&self, edge: &StageEdge) -> bool {
        self.state(edge) == EdgeState::Usable
    }

    fn cold_factor(&self, edge: &StageEdge) -> f64 {
        let is_cold = !self.warm.is_empty() && !self.warm.contains(&edge.target.instance);
        if is_cold { COLD_CACHE_FACTOR } else { 1.0 }
    }
}

/// Expected time of one token on a stage in microseconds, with one more request in progress.
pub fn expected_token_micros(query: &ChainQuery<'_>, edge: &StageEdge) -> f64 {
    let micros = edge.target.read_load(|load, sessions| {
        StepTiming::from_report(load.map(|load| &*load.report)).token_micros(sessions + 1)
    });
    let slow_start = edge.target.health.slow_start_factor(query.now);
    micros * edge.layer_share * slow_start * query.cold_factor(edge)
}

/// Cost by requests in flight: those of this daemon on the stage's engine, plus one.
fn in_flight_cost(query: &ChainQuery<'_>, edge: &StageEdge) -> f64 {
    f64::from(edge.target.in_flight() + 1) * query.cold_factor(edge)
}

/// Cost by load: the estimated requests in progress on the stage's engine, plus one.
fn session_cost(query: &ChainQuery<'_>, edge: &StageEdge) -> f64 {
    f64::from(edge.target.sessions() + 1) * query.cold_factor(edge)
}

/// Chooses a chain by `policy`. A resumed request is routed by expected time under every policy, so
/// that it returns to the engines that hold its KV cache.
pub fn choose_chain(
    graph: &ModelGraph,
    query: &ChainQuery<'_>,
    policy: PolicyName,
    rng: &mut fastrand::Rng,
) -> ChainChoice {
    let expected = |edge: &StageEdge| expected_token_micros(query, edge);
    if query.isolated {
        return shortest_chain(graph, query, rng, |edge| {
            ISOLATION_COST_MICROS * f64::from(edge.target.in_flight()) + expected(edge)
        });
    }
    if !query.warm.is_empty() {
        return shortest_chain(graph, query, rng, expected);
    }
    let drawn = match policy {
        PolicyName::ExpectedTime => return shortest_chain(graph, query, rng, expected),
        PolicyName::LeastInFlight => {
            return shortest_chain(graph, query, rng, |edge| in_flight_cost(query, edge));
        }
        PolicyName::RoundRobin => round_robin_chain(graph, query),
        PolicyName::TwoChoices => two_choices_chain(graph, query, rng, draw_uniform, |edge| {
            session_cost(query, edge)
        }),
        PolicyName::FlowWeighted => {
            let weights = graph.weights();
            let weights = weights.as_deref();
            let draw = |graph: &ModelGraph, boundary, rng: &mut fastrand::Rng| {
                draw_by_flow(graph, weights, boundary, rng)
            };
            two_choices_chain(graph, query, rng, draw, expected)
        }
    };
    // Draws can fail although there is a chain; the least-cost search finds it.
    drawn.map_or_else(
        || shortest_chain(graph, query, rng, expected),
        ChainChoice::Chain,
    )
}

/// Round robin: at each boundary, the next usable stage after the last one chosen.
fn round_robin_chain(graph: &ModelGraph, query: &ChainQuery<'_>) -> Option<Vec<usize>> {
    let mut chain = Vec::new();
    let mut boundary = 0;
    while boundary < graph.last_boundary() {
        let range = graph.edges_from(boundary);
        let count = range.len().max(1);
        let first = graph.cursors[boundary].fetch_add(1, Ordering::Relaxed);
        let mut candidates = (0..range.len()).map(|step| range.start + (first + step) % count);
        let index = candidates.find(|index| query.is_usable(&graph.edges()[*index]))?;
        chain.push(index);
        boundary = graph.edges()[index].end_boundary;
    }
    Some(chain)
}

fn draw_uniform(graph: &ModelGraph, boundary: usize, rng: &mut fastrand::Rng) -> Option<usize> {
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
        None => draw_uniform(graph, boundary, rng),
    }
}

/// Power of two choices: draws two stages at each boundary and takes the cheaper one. This spreads
/// the requests of several daemons that read the same stale report, where the least-cost choice
/// would send them all to one engine.
fn two_choices_chain<D, C>(
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
    let mut boundary = 0;
    while boundary < graph.last_boundary() {
        let first = draw_usable(graph, query, rng, &draw, boundary)?;
        let second = draw_usable(graph, query, rng, &draw, boundary)?;
        let edges = graph.edges();
        // Stages may end at different layers, so they compare by their cost per layer.
        let per_layer =
            |index: usize| cost(&edges[index]) / f64::from(edges[index].stage.layers.len());
        let index = if first == second || per_layer(first) <= per_layer(second) {
            first
        } else {
            second
        };
        chain.push(index);
        boundary = edges[index].end_boundary;
    }
    Some(chain)
}

fn draw_usable<D>(
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
    draws.find(|index| query.is_usable(&graph.edges()[*index]))
}

/// Least-cost way to a boundary: its total cost and last stage.
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

/// The chain with the least total cost. Boundaries are in layer order, so one pass over them finds
/// it.
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
    for boundary in 0..graph.last_boundary() {
        if best[boundary].cost.is_infinite() {
            continue;
        }
        farthest = boundary;
        let range = graph.edges_from(boundary);
        // A random start spreads requests over engines with the same cost.
        let offset = if range.is_empty() {
            0
        } else {
            rng.usize(..range.len())
        };
        for index in (range.start + offset..range.end).chain(range.start..range.start + offset) {
            let edge = &graph.edges()[index];
            match query.state(edge) {
                EdgeState::Unusable => {}
                EdgeState::Reserved => is_reserved = true,
                EdgeState::Usable => {
                    let total = best[boundary].cost + cost(edge);
                    if total < best[edge.end_boundary].cost {
                        best[edge.end_boundary] = BestStep {
                            cost: total,
                            edge: index,
                            from: boundary,
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
    ChainChoice::Chain(collect_edges(&best))
}

fn collect_edges(best: &[BestStep]) -> Vec<usize> {
    let mut chain = Vec::new();
    let mut boundary = best.len() - 1;
    while boundary > 0 {
        chain.push(best[boundary].edge);
        boundary = best[boundary].from;
    }
    chain.reverse();
    chain
}
