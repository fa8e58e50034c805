//! A grid of counts, one dimension for each kind of accelerator.

use std::cmp::Reverse;

/// Counts up to a limit for each kind, all of them or some at even distances.
#[derive(Debug)]
pub(super) struct CountGrid {
    /// Counts of each kind, ascending from zero.
    levels: Vec<Vec<usize>>,
    is_complete: bool,
}

impl CountGrid {
    /// A grid of at most `max_points` points. The counts of the kinds with the highest limits are thinned
    /// out first.
    pub(super) fn new(limits: &[usize], max_points: usize) -> Self {
        let mut sizes: Vec<usize> = limits.iter().map(|limit| limit + 1).collect();
        while sizes.iter().product::<usize>() > max_points {
            let largest = (0..sizes.len()).max_by_key(|kind| (sizes[*kind], Reverse(*kind)));
            let Some(largest) = largest else { break };
            sizes[largest] -= 1;
        }
        let is_complete = sizes.iter().zip(limits).all(|(size, limit)| size > limit);
        let levels = sizes.iter().zip(limits);
        Self {
            levels: levels.map(|(size, limit)| spread(*size, *limit)).collect(),
            is_complete,
        }
    }

    /// True when no counts were left out.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// All points, the counts of the last kind changing fastest.
    pub(super) fn points(&self) -> impl Iterator<Item = Vec<usize>> {
        let count: usize = self.levels.iter().map(Vec::len).product();
        (0..count).map(|index| {
            let mut left = index;
            let mut point = vec![0; self.levels.len()];
            for (kind, levels) in self.levels.iter().enumerate().rev() {
                point[kind] = levels[left % levels.len()];
                left /= levels.len();
            }
            point
        })
    }

    /// Index of the largest point that exceeds `counts` for no kind.
    pub(super) fn index_within(&self, counts: &[usize]) -> usize {
        let levels = self.levels.iter().zip(counts);
        levels.fold(0, |index, (levels, count)| {
            let level = levels.partition_point(|level| level <= count) - 1;
            index * levels.len() + level
        })
    }

    /// For each point, the index of the point with the highest value among those that exceed it for no
    /// kind. `values` are in the order of [`Self::points`].
    pub(super) fn best_within(&self, values: &[f64]) -> Vec<usize> {
        let mut best: Vec<usize> = (0..values.len()).collect();
        let mut stride = 1;
        for levels in self.levels.iter().rev() {
            for index in 0..values.len() {
                let has_lower = (index / stride) % levels.len() > 0;
                if has_lower && values[best[index - stride]] > values[best[index]] {
                    best[index] = best[index - stride];
                }
            }
            stride *= levels.len();
        }
        best
    }
}

/// `size` counts from zero to `limit` at even distances; only zero when `size` is one.
fn spread(size: usize, limit: usize) -> Vec<usize> {
    let steps = size.saturating_sub(1);
    (0..size)
        .map(|step| (step * limit).checked_div(steps).unwrap_or(0))
        .collect()
}
