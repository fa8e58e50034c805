//! Paths through the layers of a model, made of the layer ranges that servers hold.

use crate::catalog::CardKind;
use crate::units::LayerRange;

/// A range of layers that one server runs, with the cost of running it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PathSegment {
    pub layers: LayerRange,
    pub cost: f64,
}

impl PathSegment {
    /// Segment on an accelerator of this kind. Its cost is the time of a token step, in units of
    /// the time that the reference kind takes for one layer.
    pub(crate) fn on_accelerator(layers: LayerRange, kind: &CardKind) -> Self {
        let cost = f64::from(layers.len()) * kind.step_factor;
        Self { layers, cost }
    }
}

/// Finds the cheapest path that covers all `layers`, and returns its cost and the indexes of its
/// segments. `None` when the segments form no complete path.
pub(crate) fn cheapest_path(segments: &[PathSegment], layers: u32) -> Option<(f64, Vec<usize>)> {
    // For each layer boundary: cost of the cheapest path from the first layer, and its last
    // segment.
    let mut best: Vec<Option<(f64, usize)>> = vec![None; layers as usize + 1];
    for layer in 0..layers {
        let start_cost = match layer {
            0 => Some(0.0),
            _ => best[layer as usize].map(|(cost, _)| cost),
        };
        let Some(start_cost) = start_cost else {
            continue;
        };
        let fits =
            |segment: &PathSegment| segment.layers.from == layer && segment.layers.to <= layers;
        for (index, segment) in segments.iter().enumerate().filter(|(_, s)| fits(s)) {
            let cost = start_cost + segment.cost;
            let entry = &mut best[segment.layers.to as usize];
            if entry.is_none_or(|(least, _)| cost < least) {
                *entry = Some((cost, index));
            }
        }
    }
    let (total_cost, _) = best[layers as usize]?;
    let mut path = Vec::new();
    let mut layer = layers;
    while layer > 0 {
        let (_, index) = best[layer as usize]?;
        path.push(index);
        layer = segments[index].layers.from;
    }
    path.reverse();
    Some((total_cost, path))
}

/// Tells for each range whether it is part of a path that covers all `layers`.
pub(crate) fn mark_on_full_path(ranges: &[Option<LayerRange>], layers: u32) -> Vec<bool> {
    let boundary_count = layers as usize + 1;
    let is_within_model = |range: &&LayerRange| !range.is_empty() && range.to <= layers;
    let valid_ranges = || ranges.iter().flatten().filter(is_within_model);
    // For each layer boundary: whether a path leads from the first layer to it, and from it to the
    // last layer.
    let mut from_start = vec![false; boundary_count];
    let mut to_end = vec![false; boundary_count];
    from_start[0] = true;
    to_end[layers as usize] = true;
    for layer in 0..layers {
        for range in valid_ranges().filter(|range| range.from == layer) {
            from_start[range.to as usize] |= from_start[layer as usize];
        }
    }
    for layer in (1..=layers).rev() {
        for range in valid_ranges().filter(|range| range.to == layer) {
            to_end[range.from as usize] |= to_end[layer as usize];
        }
    }
    let is_on_path =
        |range: LayerRange| from_start[range.from as usize] && to_end[range.to as usize];
    ranges
        .iter()
        .map(|range| {
            range
                .as_ref()
                .filter(is_within_model)
                .is_some_and(|range| is_on_path(*range))
        })
        .collect()
}
