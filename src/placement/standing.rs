//! What of a failure domain's present placement still makes whole chains.

use crate::placement::plan::ServerOffer;
use crate::units::LayerRange;

/// Marks, for each offer, whether its layers are part of a whole chain of the offers.
pub(super) fn mark_useful(offers: &[&ServerOffer], layers: u32) -> Vec<bool> {
    let size = layers as usize + 1;
    let ranges: Vec<Option<LayerRange>> = offers.iter().map(|offer| held(offer, layers)).collect();
    let mut from_start = vec![false; size];
    let mut to_end = vec![false; size];
    from_start[0] = true;
    to_end[layers as usize] = true;
    for layer in 0..layers {
        let starting = ranges.iter().flatten().filter(|range| range.from == layer);
        for range in starting {
            from_start[range.to as usize] |= from_start[layer as usize];
        }
    }
    for layer in (1..=layers).rev() {
        let ending = ranges.iter().flatten().filter(|range| range.to == layer);
        for range in ending {
            to_end[range.from as usize] |= to_end[layer as usize];
        }
    }
    let useful = |range: &Option<LayerRange>| {
        range.is_some_and(|range| from_start[range.from as usize] && to_end[range.to as usize])
    };
    ranges.iter().map(useful).collect()
}

/// The layers an offer holds, when they are layers of the model.
fn held(offer: &ServerOffer, layers: u32) -> Option<LayerRange> {
    offer
        .held
        .filter(|range| !range.is_empty() && range.to <= layers)
}

/// Ranges that no offer of the domain covers, between those that are held. `None` when the held ranges
/// overlap, so that no filling of holes makes a chain of all of them.
pub(super) fn find_holes(held: &[LayerRange], layers: u32) -> Option<Vec<LayerRange>> {
    let mut sorted = held.to_vec();
    sorted.sort();
    sorted.dedup();
    let mut holes = Vec::new();
    let mut next = 0;
    for range in sorted {
        if range.from < next {
            return None;
        }
        if range.from > next {
            holes.push(LayerRange::new(next, range.from));
        }
        next = range.to;
    }
    if next < layers {
        holes.push(LayerRange::new(next, layers));
    }
    Some(holes)
}

/// A part of a chain and how slow its card is.
#[derive(Debug, Clone, Copy)]
pub(super) struct ChainEdge {
    pub layers: LayerRange,
    pub step_factor: f64,
}

/// Step time through the fastest chain of these parts, in units of a reference card's time for one
/// layer; `None` when they make no whole chain.
pub(super) fn fastest_chain(edges: &[ChainEdge], layers: u32) -> Option<f64> {
    let mut times = vec![f64::INFINITY; layers as usize + 1];
    times[0] = 0.0;
    for layer in 0..layers {
        let start = times[layer as usize];
        let starting = edges
            .iter()
            .filter(|edge| edge.layers.from == layer && edge.layers.to <= layers);
        for edge in starting {
            let time = start + f64::from(edge.layers.len()) * edge.step_factor;
            let end = &mut times[edge.layers.to as usize];
            *end = end.min(time);
        }
    }
    let whole = times[layers as usize];
    whole.is_finite().then_some(whole)
}
