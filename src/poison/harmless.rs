//! Parts of prompts that are known not to crash targets.

use crate::poison::fingerprint::PoisonFingerprint;
use crate::units::MonoTime;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Time for which a whole response shows that a part is harmless. A part that begins to crash
/// targets is not held against its requests before.
const HARMLESS_TIME: Duration = Duration::from_secs(20);
/// Most parts that are kept.
const MAX_PARTS: usize = 4_096;

/// Fingerprints of the parts of requests that were answered whole lately.
#[derive(Debug, Default)]
pub struct HarmlessParts {
    answered: Mutex<HashMap<PoisonFingerprint, MonoTime>>,
}

impl HarmlessParts {
    /// Notes the parts of a request that was answered whole.
    pub fn record(&self, parts: &[PoisonFingerprint], now: MonoTime) {
        if parts.is_empty() {
            return;
        }
        let mut answered = self.lock();
        answered.extend(parts.iter().map(|part| (*part, now)));
        if answered.len() > MAX_PARTS {
            drop_oldest_half(&mut answered);
        }
    }

    /// True when a request with this part was answered whole lately.
    pub fn contains(&self, part: PoisonFingerprint, now: MonoTime) -> bool {
        let answered = self.lock();
        let answered_at = answered.get(&part);
        answered_at.is_some_and(|at| now.since(*at) < HARMLESS_TIME)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<PoisonFingerprint, MonoTime>> {
        self.answered.lock().expect("parts are never poisoned")
    }
}

/// Drops the half that was answered first, so that this is rarely needed.
fn drop_oldest_half(answered: &mut HashMap<PoisonFingerprint, MonoTime>) {
    let mut times: Vec<MonoTime> = answered.values().copied().collect();
    times.sort_unstable();
    let median = times[times.len() / 2];
    answered.retain(|_, at| *at > median);
}
