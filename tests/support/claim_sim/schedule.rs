//! Random choices of a schedule, its keys, and counts of the answers and faults that occurred.

use arbutusmount::{ClaimRequest, DATED_SLOT_COUNT, KeyDigest};
use std::collections::BTreeMap;

/// Window of the first dated key, at which simulated time starts.
pub const FIRST_WINDOW: u64 = 100_000;

/// Random choices of a schedule; zeros once they are used up.
pub struct ChoiceSource {
    choices: std::vec::IntoIter<u16>,
}

impl ChoiceSource {
    pub fn new(choices: Vec<u16>) -> Self {
        Self {
            choices: choices.into_iter(),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.choices.len() == 0
    }

    pub fn pick(&mut self, count: usize) -> usize {
        usize::from(self.choices.next().unwrap_or(0)) % count.max(1)
    }
}

/// Creates four keys: two dated ones whose windows share a page slot, and two undated ones that
/// share a page.
pub fn make_keys() -> Vec<ClaimRequest> {
    let windows = [
        Some(FIRST_WINDOW),
        Some(FIRST_WINDOW + DATED_SLOT_COUNT),
        None,
        None,
    ];
    let keys = windows.into_iter().enumerate().map(|(number, window)| {
        // Only the first two bytes choose the page.
        let mut digest = KeyDigest([7; 16]);
        digest.0[15] = number as u8;
        ClaimRequest {
            digest,
            window,
            fingerprint: 1,
        }
    });
    keys.collect()
}

/// Number of occurrences of each kind of answer and fault, by name.
pub type SimCounts = BTreeMap<&'static str, usize>;
