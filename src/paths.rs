//! Ways through the layers of a model.

use crate::catalog::CardKind;
use crate::units::LayerRange;

/// Layers that are run together, and what that weighs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PathSegment {
    pub layers: LayerRange,
    pub cost: f64,
}

impl PathSegment {
    /// Layers on a card, weighed by the time of a token, in units of a reference card's time for one
    /// layer.
    pub(crate) fn on_accelerator(layers: LayerRange, card: &CardKind) -> Self {
        let cost = f64::from(layers.len()) * card.step_factor;
        Self { layers, cost }
    }
}

/// The lightest way from the first layer to the last: its cost, and the places in `steps` of its
/// parts. `None` when no steps make a whole way.
pub(crate) fn cheapest_path(steps: &[PathSegment], layers: u32) -> Option<(f64, Vec<usize>)> {
    let mut ways: Vec<Option<(f64, usize)>> = vec![None; layers as usize + 1];
    for layer in 0..layers {
        let start = match layer {
            0 => Some(0.0),
            _ => ways[layer as usize].map(|(cost, _)| cost),
        };
        let Some(start) = start else {
            continue;
        };
        let fits = |step: &PathSegment| step.layers.from == layer && step.layers.to <= layers;
        for (index, step) in steps.iter().enumerate().filter(|(_, step)| fits(step)) {
            let cost = start + step.cost;
            let way = &mut ways[step.layers.to as usize];
            if way.is_none_or(|(least, _)| cost < least) {
                *way = Some((cost, index));
            }
        }
    }
    let (whole, _) = ways[layers as usize]?;
    let mut path = Vec::new();
    let mut layer = layers;
    while layer > 0 {
        let (_, index) = ways[layer as usize]?;
        path.push(index);
        layer = steps[index].layers.from;
    }
    path.reverse();
    Some((whole, path))
}

/// Marks, for each of these ranges, whether it is part of a whole way from the first layer to the last.
pub(crate) fn mark_on_full_path(ranges: &[Option<LayerRange>], layers: u32) -> Vec<bool> {
    let size = layers as usize + 1;
    let of_model = |range: &&LayerRange| !range.is_empty() && range.to <= layers;
    let held = || ranges.iter().flatten().filter(of_model);
    let mut from_start = vec![false; size];
    let mut to_end = vec![false; size];
    from_start[0] = true;
    to_end[layers as usize] = true;
    for layer in 0..layers {
        for range in held().filter(|range| range.from == layer) {
            from_start[range.to as usize] |= from_start[layer as usize];
        }
    }
    for layer in (1..=layers).rev() {
        for range in held().filter(|range| range.to == layer) {
            to_end[range.from as usize] |= to_end[layer as usize];
        }
    }
    let useful = |range: LayerRange| from_start[range.from as usize] && to_end[range.to as usize];
    ranges
        .iter()
        .map(|range| {
            range
                .as_ref()
                .filter(of_model)
                .is_some_and(|range| useful(*range))
        })
        .collect()
}
