//! Chains of targets that together hold all layers of a model.

use crate::catalog::ModelShape;
use crate::ids::DomainId;
use crate::paths::{PathSegment, cheapest_path, mark_on_full_path};
use crate::targets::entry::TargetEntry;
use crate::units::{LayerRange, MonoTime};
use std::sync::Arc;

/// Limit on the chains kept for each failure domain of a service.
const MAX_CHAINS: usize = 24;
/// Number of cheapest-path searches when there are more chains than can be kept. Some searches find
/// a chain again.
const SPREAD_SEARCHES: usize = 48;
/// Cost added to a part each time a search has used it, as a share of its own cost, so that the
/// kept chains cover all targets.
const REUSE_PENALTY: f64 = 1.0;

/// One target's part of a chain.
#[derive(Debug, Clone)]
pub struct ChainPart {
    /// Target that runs the layers.
    pub target: Arc<TargetEntry>,
    /// Layers that the target runs.
    pub layers: LayerRange,
}

impl ChainPart {
    /// Context tokens that the target has capacity for beside all layers that it holds; 0 when its
    /// accelerator kind is unknown.
    pub fn token_capacity(&self, model: &ModelShape) -> f64 {
        let card = self.target.card.as_ref().and_then(|name| model.card(name));
        card.map_or(0.0, |card| {
            model.token_capacity(card, held_layers(&self.target))
        })
    }

    /// Share of the part's token capacity that requests of all daemons have reserved.
    pub fn reserved_share(&self, model: &ModelShape) -> f64 {
        self.target.stats.total_tokens() / self.token_capacity(model).max(1.0)
    }
}

/// A chain of targets that runs all layers of a model.
#[derive(Debug, Clone)]
pub struct LayerChain {
    /// Parts in the order of their layers; never empty.
    pub parts: Vec<ChainPart>,
    /// Failure domain of the first part.
    pub domain: DomainId,
    /// Time per token with a small batch, in milliseconds.
    pub token_ms: f64,
    /// Context tokens that the part with the least memory has capacity for.
    pub token_capacity: f64,
}

impl LayerChain {
    /// The first target, which requests are sent to.
    pub fn head(&self) -> &Arc<TargetEntry> {
        &self.parts[0].target
    }

    /// True when the target of a part is ejected.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        self.parts
            .iter()
            .any(|part| part.target.stats.is_ejected(now))
    }

    /// True when the target of a part has announced that it leaves.
    pub fn leaves(&self) -> bool {
        let mut parts = self.parts.iter();
        parts.any(|part| part.target.stats.is_leaving())
    }

    /// True while the target of a part has no capacity, as it has just turned a request away.
    pub fn is_saturated(&self, now: MonoTime) -> bool {
        let mut parts = self.parts.iter();
        parts.any(|part| part.target.stats.is_saturated(now))
    }

    /// True while the target of a part rests.
    pub fn rests(&self, now: MonoTime) -> bool {
        let mut parts = self.parts.iter();
        parts.any(|part| part.target.stats.limit().resting_until(now).is_some())
    }

    /// True when the target of a part is degraded.
    pub fn is_degraded(&self, now: MonoTime) -> bool {
        self.parts
            .iter()
            .any(|part| part.target.stats.is_degraded(now))
    }

    /// Share of a part's token capacity that requests of all daemons have reserved, for the fullest
    /// part.
    pub fn reserved_share(&self, model: &ModelShape) -> f64 {
        let shares = self.parts.iter().map(|part| part.reserved_share(model));
        shares.fold(0.0, f64::max)
    }
}

fn held_layers(target: &TargetEntry) -> u32 {
    target.layers.map_or(0, LayerRange::len)
}

/// Finds chains of ready targets, all in `domain` if one is given, fastest first. Where there are
/// too many chains, the ones returned cover as many targets as possible.
pub fn find_chains(
    targets: &[Arc<TargetEntry>],
    domain: Option<&DomainId>,
    model: &ModelShape,
) -> Vec<LayerChain> {
    let fits = |target: &&Arc<TargetEntry>| {
        let inside = domain.is_none_or(|domain| &target.domain == domain);
        let holds = target.layers.is_some_and(|held| !held.is_empty());
        let card = target.card.as_ref().and_then(|name| model.card(name));
        inside && target.is_ready() && holds && card.is_some()
    };
    let mut holders: Vec<&Arc<TargetEntry>> = targets.iter().filter(fits).collect();
    // Without targets that are on no complete path, the search visits only chains that are kept.
    let held: Vec<Option<LayerRange>> = holders.iter().map(|holder| holder.layers).collect();
    let mut on_full_path = mark_on_full_path(&held, model.layers).into_iter();
    holders.retain(|_| on_full_path.next().unwrap_or_default());
    let mut found = Vec::new();
    extend_chain(&holders, model, &mut Vec::new(), 0, &mut found);
    if found.len() >= MAX_CHAINS {
        found = spread_chains(&holders, model);
    }
    found.sort_by(|a, b| a.token_ms.total_cmp(&b.token_ms));
    found
}

/// Adds the chains that begin with `parts` and continue at `next_layer`, up to [`MAX_CHAINS`] in
/// all.
fn extend_chain(
    holders: &[&Arc<TargetEntry>],
    model: &ModelShape,
    parts: &mut Vec<ChainPart>,
    next_layer: u32,
    found: &mut Vec<LayerChain>,
) {
    if next_layer == model.layers {
        found.extend(make_chain(parts, model));
        return;
    }
    for holder in holders {
        let held = holder.layers.unwrap_or_default();
        if held.from != next_layer || found.len() >= MAX_CHAINS {
            continue;
        }
        parts.push(ChainPart {
            target: Arc::clone(holder),
            layers: held,
        });
        extend_chain(holders, model, parts, held.to, found);
        parts.pop();
    }
}

/// Finds the fastest chains one after the other; parts of earlier chains cost more.
fn spread_chains(holders: &[&Arc<TargetEntry>], model: &ModelShape) -> Vec<LayerChain> {
    let segment_of = |holder: &&Arc<TargetEntry>| {
        let card = model.card(holder.card.as_ref()?)?;
        let part = ChainPart {
            target: Arc::clone(holder),
            layers: holder.layers?,
        };
        let segment = PathSegment::on_accelerator(part.layers, card);
        Some((part, segment))
    };
    let (parts, base): (Vec<ChainPart>, Vec<PathSegment>) =
        holders.iter().filter_map(segment_of).unzip();
    let mut uses = vec![0_u32; base.len()];
    let mut segments = base.clone();
    let mut kept: Vec<Vec<usize>> = Vec::new();
    for _ in 0..SPREAD_SEARCHES {
        let Some((_, path)) = cheapest_path(&segments, model.layers) else {
            break;
        };
        for index in &path {
            uses[*index] += 1;
            let factor = 1.0 + REUSE_PENALTY * f64::from(uses[*index]);
            segments[*index].cost = base[*index].cost * factor;
        }
        if kept.len() < MAX_CHAINS && !kept.contains(&path) {
            kept.push(path);
        }
    }
    let chain = |path: &Vec<usize>| {
        let parts = path.iter().map(|index| parts[*index].clone());
        make_chain(&parts.collect::<Vec<_>>(), model)
    };
    kept.iter().filter_map(chain).collect()
}

/// Makes a chain of parts; `None` when the accelerator kind of a part is unknown.
fn make_chain(parts: &[ChainPart], model: &ModelShape) -> Option<LayerChain> {
    let mut step_ms = 0.0;
    let mut token_capacity = f64::INFINITY;
    for part in parts {
        let card = model.card(part.target.card.as_ref()?)?;
        let share = f64::from(part.layers.len()) / f64::from(model.layers);
        step_ms += share * card.step_factor * model.step_ms;
        token_capacity = token_capacity.min(model.token_capacity(card, part.layers.len()));
    }
    let domain = parts.first()?.target.domain.clone();
    Some(LayerChain {
        parts: parts.to_vec(),
        domain,
        token_ms: step_ms,
        token_capacity,
    })
}
