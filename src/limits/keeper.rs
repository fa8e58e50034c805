//! The keeper of a target hands out permits at the rate that the target has named.

use crate::admission::{BucketOutcome, TokenBucket};
use crate::hash::stable_hash;
use crate::presence::PresenceRow;
use crate::units::{MonoTime, RequestRate};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Lowest rate at which permits are handed out. A target that takes nothing is still asked now and
/// then, as only a response shows that its limit has ended.
const MIN_RATE: f64 = 0.2;
/// Time for which unused permits of the rate are kept, beyond a single one.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Time before a keeper hands out its first permit for a target: another daemon may have been its
/// keeper until now, and its last permits may still be used.
const HANDOVER_TIME: Duration = Duration::from_secs(1);
/// Most targets for which permits are handed out.
const MAX_TARGETS: usize = 4_096;
/// Time after which a target that nobody has asked for is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Permits that a keeper hands out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitGrant {
    /// Number of permits; 0 when there is none.
    pub count: u32,
    /// Time until there is one, if there is none.
    pub retry_after: Duration,
}

/// Chooses the keeper of a target by rendezvous hashing: daemons that list the same daemons choose
/// the same one. `None` when none is listed.
pub fn choose_keeper<'a>(
    daemons: impl Iterator<Item = &'a PresenceRow>,
    target: u64,
) -> Option<&'a PresenceRow> {
    daemons.max_by_key(|row| {
        let instance = row.instance.as_str().as_bytes();
        stable_hash(&[instance, &target.to_be_bytes()])
    })
}

#[derive(Debug)]
struct KeptTarget {
    bucket: TokenBucket,
    asked_at: MonoTime,
}

/// The targets for which this daemon hands out permits.
#[derive(Debug, Default)]
pub struct KeeperTable {
    targets: Mutex<HashMap<u64, KeptTarget>>,
}

impl KeeperTable {
    /// Hands out up to `wanted` permits for a target with this limit.
    pub fn grant(
        &self,
        target: u64,
        limit: RequestRate,
        wanted: u32,
        now: MonoTime,
    ) -> PermitGrant {
        let rate = limit.0.max(MIN_RATE);
        let burst = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        let mut targets = self.lock();
        if !targets.contains_key(&target) && targets.len() >= MAX_TARGETS {
            targets.retain(|_, kept| now.since(kept.asked_at) < IDLE_TIME);
        }
        let kept = targets.entry(target).or_insert_with(|| {
            let mut bucket = TokenBucket::new(rate, burst, now);
            bucket.adjust(-burst - rate * HANDOVER_TIME.as_secs_f64(), now);
            KeptTarget {
                bucket,
                asked_at: now,
            }
        });
        kept.asked_at = now;
        kept.bucket.set_rate(rate, burst, now);
        take_permits(&mut kept.bucket, wanted, now)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, KeptTarget>> {
        self.targets.lock().expect("keeper is never poisoned")
    }
}

fn take_permits(bucket: &mut TokenBucket, wanted: u32, now: MonoTime) -> PermitGrant {
    let mut count = 0;
    while count < wanted {
        match bucket.take(1.0, now) {
            BucketOutcome::Taken => count += 1,
            BucketOutcome::Empty(retry_after) if count == 0 => {
                return PermitGrant { count, retry_after };
            }
            BucketOutcome::Empty(_) => break,
        }
    }
    PermitGrant {
        count,
        retry_after: Duration::ZERO,
    }
}
