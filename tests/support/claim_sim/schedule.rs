//! Choices of a schedule, its keys, and counts of what it brought about.

use arbutusmount::{ClaimRequest, DATED_SLOT_COUNT, KeyDigest};
use std::collections::BTreeMap;

/// Window of the first dated keys.
pub const FIRST_WINDOW: u64 = 100_000;

/// Choices of a schedule; zeros once they are used up.
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

/// Keys: two dated ones whose windows share a page, and two undated ones that share a page.
pub fn make_keys() -> Vec<ClaimRequest> {
    let windows = [
        Some(FIRST_WINDOW),
        Some(FIRST_WINDOW + DATED_SLOT_COUNT),
        None,
        None,
    ];
    let keys = windows.into_iter().enumerate().map(|(number, window)| {
        // The page follows from the first bytes alone.
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

/// How often each thing came up, by name.
pub type SimCounts = BTreeMap<&'static str, usize>;
