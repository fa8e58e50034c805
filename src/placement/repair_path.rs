//! Shortest-path search for the cheapest repair of a chain.

use crate::units::LayerRange;

/// The path to a complete chain that needs the fewest layers loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ChainRepair {
    /// Held ranges on the path.
    pub used: Vec<LayerRange>,
    /// Ranges between them that no server holds.
    pub holes: Vec<LayerRange>,
}

/// Layers to load, number of holes and number of parts of a path, compared in this order.
type RepairCost = (u32, u32, u32);

/// Last step of the cheapest path to a layer. Paths that end in a hole are kept apart from the
/// others.
#[derive(Debug, Clone, Copy)]
struct RepairStep {
    cost: RepairCost,
    from: u32,
    from_hole: bool,
}

/// Finds the path from the first layer to the last that uses held ranges unchanged and has the
/// fewest layers in holes.
pub(super) fn cheapest_repair(held: &[LayerRange], layers: u32) -> ChainRepair {
    let start = RepairStep {
        cost: (0, 0, 0),
        from: 0,
        from_hole: false,
    };
    let mut paths = vec![[None, None]; layers as usize + 1];
    paths[0][0] = Some(start);
    for layer in 0..layers {
        for in_hole in [false, true] {
            let Some(RepairStep { cost, .. }) = paths[layer as usize][usize::from(in_hole)] else {
                continue;
            };
            let (missing, holes, parts) = cost;
            let step = |cost| RepairStep {
                cost,
                from: layer,
                from_hole: in_hole,
            };
            let opened = u32::from(!in_hole);
            keep_cheaper(
                &mut paths[layer as usize + 1][1],
                step((missing + 1, holes + opened, parts)),
            );
            let fits = |range: &&LayerRange| range.from == layer && range.to <= layers;
            for range in held.iter().filter(fits).filter(|range| !range.is_empty()) {
                keep_cheaper(
                    &mut paths[range.to as usize][0],
                    step((missing, holes, parts + 1)),
                );
            }
        }
    }
    trace_repair(&paths, layers)
}

fn keep_cheaper(best: &mut Option<RepairStep>, candidate: RepairStep) {
    if best.is_none_or(|current| candidate.cost < current.cost) {
        *best = Some(candidate);
    }
}

/// Traces the cheapest path back from the last layer.
fn trace_repair(paths: &[[Option<RepairStep>; 2]], layers: u32) -> ChainRepair {
    let mut repair = ChainRepair {
        used: Vec::new(),
        holes: Vec::new(),
    };
    let cost = |in_hole: bool| paths[layers as usize][usize::from(in_hole)].map(|step| step.cost);
    let mut at = layers;
    let mut in_hole = match (cost(false), cost(true)) {
        (Some(held), Some(hole)) => hole < held,
        (held, _) => held.is_none(),
    };
    while at > 0
        && let Some(step) = paths[at as usize][usize::from(in_hole)]
    {
        let range = LayerRange::new(step.from, at);
        match repair.holes.last_mut() {
            _ if !in_hole => repair.used.push(range),
            Some(hole) if hole.from == at => hole.from = step.from,
            _ => repair.holes.push(range),
        }
        (at, in_hole) = (step.from, step.from_hole);
    }
    repair.used.reverse();
    repair.holes.reverse();
    repair
}
