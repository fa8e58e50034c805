//! Searches for the composition of the next chain. The number of rates that it computes is bounded
//! for any number of servers and of kinds.
//!
//! Where the number of accelerators and of their kinds is small, all compositions are compared. Where it is
//! not, those on a coarse grid of counts are, and the best ones of these are improved step by step.

use crate::catalog::{CardKind, ModelShape};
use crate::placement::composition::chain_rate;
use crate::placement::grid::CountGrid;
use crate::placement::tiling::CardCounts;
use std::collections::HashMap;
use std::sync::Arc;

/// Limit on the accelerators of one kind in a composition; more would only lengthen the chain.
const MAX_CARDS_OF_KIND: usize = 10;
/// Limit on the accelerators of a composition: servers reject requests that name more.
const MAX_CARDS: usize = 32;
/// Points of the grid, at most.
const MAX_GRID_POINTS: usize = 1_500;
/// Points of a coarse grid that are improved.
const IMPROVED_POINTS: usize = 4;
/// Improvements of one point, at most.
const MAX_IMPROVEMENTS: usize = 40;
/// Rates that differ by less are equal.
const RATE_TOLERANCE: f64 = 1e-9;

/// Numbers of accelerators of each kind, in the order of [`CompositionSearch::kinds`].
type KindCounts = Vec<usize>;

/// The next chain, the best further one of the remaining servers, and their rates together.
#[derive(Debug, Clone)]
struct ChainPair {
    next: KindCounts,
    further: KindCounts,
    rate: f64,
}

impl ChainPair {
    /// True when it is to be preferred: it has the higher rate or, on a tie, fewer accelerators in the
    /// next chain.
    fn is_better_than(&self, other: &Self) -> bool {
        let is_shorter = self.next.iter().sum::<usize>() < other.next.iter().sum::<usize>();
        let is_tie = (self.rate - other.rate).abs() < RATE_TOLERANCE;
        self.rate > other.rate + RATE_TOLERANCE || (is_tie && is_shorter)
    }
}

/// Search for compositions of chains of one model. Keeps the rates that it has computed.
#[derive(Debug)]
pub(super) struct CompositionSearch<'a> {
    model: &'a ModelShape,
    /// Kinds of the model's accelerators by name.
    kinds: Vec<&'a CardKind>,
    rates: HashMap<KindCounts, f64>,
}

impl<'a> CompositionSearch<'a> {
    /// Creates a search that has computed nothing.
    pub(super) fn new(model: &'a ModelShape) -> Self {
        let mut kinds: Vec<&CardKind> = model.cards.iter().collect();
        kinds.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            model,
            kinds,
            rates: HashMap::new(),
        }
    }

    /// The composition and rate of the next chain: the one that has the highest rate together with the
    /// best further chain of the remaining servers. On a tie, the one with fewer accelerators.
    pub(super) fn best_composition(&mut self, available: &CardCounts) -> Option<(CardCounts, f64)> {
        let count_of = |kind: &&CardKind| available.get(&kind.name).copied().unwrap_or(0);
        let available: KindCounts = self.kinds.iter().map(count_of).collect();
        let pair = self.best_pair(&available)?;
        let rate = self.rate(&pair.next);
        let names = self.kinds.iter().map(|kind| Arc::clone(&kind.name));
        Some((names.zip(pair.next).collect(), rate))
    }

    fn best_pair(&mut self, available: &[usize]) -> Option<ChainPair> {
        let grid = CountGrid::new(&limits_of(available), MAX_GRID_POINTS);
        let mut pairs = self.grid_pairs(&grid, available);
        if grid.is_complete() {
            return best_of(pairs);
        }
        pairs.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        pairs.truncate(IMPROVED_POINTS);
        let improved = pairs.into_iter().map(|pair| self.improve(pair, available));
        best_of(improved.collect())
    }

    /// The chain at each point of the grid with the best further one of the grid.
    fn grid_pairs(&mut self, grid: &CountGrid, available: &[usize]) -> Vec<ChainPair> {
        let points: Vec<KindCounts> = grid.points().collect();
        let rates: Vec<f64> = points.iter().map(|counts| self.rate(counts)).collect();
        let best_within = grid.best_within(&rates);
        let mut pairs = Vec::new();
        for (next, rate) in points.iter().zip(&rates) {
            if *rate <= 0.0 {
                continue;
            }
            let further = best_within[grid.index_within(&subtract(available, next))];
            pairs.push(ChainPair {
                next: next.clone(),
                further: points[further].clone(),
                rate: rate + rates[further],
            });
        }
        pairs
    }

    /// Adds, removes and exchanges single accelerators while that raises the rates.
    fn improve(&mut self, pair: ChainPair, available: &[usize]) -> ChainPair {
        let limits = limits_of(available);
        let mut best = pair;
        for _ in 0..MAX_IMPROVEMENTS {
            let neighbors = neighbors_of(&best, &limits);
            let rated = neighbors
                .into_iter()
                .filter_map(|(next, further)| self.rate_pair(next, &further, available));
            match best_of(rated.collect()) {
                Some(better) if better.is_better_than(&best) => best = better,
                _ => break,
            }
        }
        best
    }

    /// Rates of two chains, of which the second has at most what the first one leaves.
    fn rate_pair(
        &mut self,
        next: KindCounts,
        further: &[usize],
        available: &[usize],
    ) -> Option<ChainPair> {
        let rate = self.rate(&next);
        if rate <= 0.0 {
            return None;
        }
        let left = subtract(available, &next);
        let further: KindCounts = further.iter().zip(left).map(|(n, l)| (*n).min(l)).collect();
        let rate = rate + self.rate(&further);
        Some(ChainPair {
            next,
            further,
            rate,
        })
    }

    fn rate(&mut self, counts: &[usize]) -> f64 {
        if counts.iter().sum::<usize>() > MAX_CARDS {
            return 0.0;
        }
        if let Some(rate) = self.rates.get(counts) {
            return *rate;
        }
        let kinds = self.kinds.iter().zip(counts);
        let cards: Vec<&CardKind> = kinds
            .flat_map(|(kind, count)| std::iter::repeat_n(*kind, *count))
            .collect();
        let rate = chain_rate(self.model, &cards);
        self.rates.insert(counts.to_vec(), rate);
        rate
    }
}

/// Largest counts of a composition.
fn limits_of(available: &[usize]) -> KindCounts {
    let limit = |count: &usize| (*count).min(MAX_CARDS_OF_KIND);
    available.iter().map(limit).collect()
}

fn subtract(available: &[usize], used: &[usize]) -> KindCounts {
    let counts = available.iter().zip(used);
    counts.map(|(available, used)| available - used).collect()
}

fn best_of(pairs: Vec<ChainPair>) -> Option<ChainPair> {
    pairs.into_iter().reduce(|best, pair| {
        if pair.is_better_than(&best) {
            pair
        } else {
            best
        }
    })
}

/// Pairs that differ from this one by one accelerator more, less or of another kind in one of its chains, or
/// by one that moves between them.
fn neighbors_of(pair: &ChainPair, limits: &[usize]) -> Vec<(KindCounts, KindCounts)> {
    let next = changes_of(&pair.next, limits).map(|next| (next, pair.further.clone()));
    let further = changes_of(&pair.further, limits).map(|further| (pair.next.clone(), further));
    let mut neighbors: Vec<_> = next.chain(further).collect();
    for kind in 0..limits.len() {
        if let Some(grown) = add_one(&pair.next, kind, limits)
            && let Some(shrunk) = remove_one(&pair.further, kind)
        {
            neighbors.push((grown, shrunk));
        }
        if let Some(shrunk) = remove_one(&pair.next, kind)
            && let Some(grown) = add_one(&pair.further, kind, limits)
        {
            neighbors.push((shrunk, grown));
        }
    }
    neighbors
}

/// Counts with one accelerator more, less or of another kind.
fn changes_of(counts: &[usize], limits: &[usize]) -> impl Iterator<Item = KindCounts> {
    let kinds = 0..limits.len();
    let grown: Vec<KindCounts> = kinds
        .clone()
        .filter_map(|kind| add_one(counts, kind, limits))
        .collect();
    let shrunk: Vec<KindCounts> = kinds
        .clone()
        .filter_map(|kind| remove_one(counts, kind))
        .collect();
    let exchanged: Vec<KindCounts> = grown
        .iter()
        .flat_map(|grown| kinds.clone().filter_map(|kind| remove_one(grown, kind)))
        .filter(|changed| changed != counts)
        .collect();
    grown.into_iter().chain(shrunk).chain(exchanged)
}

fn add_one(counts: &[usize], kind: usize, limits: &[usize]) -> Option<KindCounts> {
    let mut grown = counts.to_vec();
    grown[kind] += 1;
    (grown[kind] <= limits[kind]).then_some(grown)
}

fn remove_one(counts: &[usize], kind: usize) -> Option<KindCounts> {
    let mut shrunk = counts.to_vec();
    shrunk[kind] = shrunk[kind].checked_sub(1)?;
    Some(shrunk)
}
