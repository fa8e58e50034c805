//! The claim protocol under random schedules: messages that are lost, duplicated, delayed and
//! reordered, daemons that crash and restart at any step, writes that take effect without a reply,
//! stale reads, daemons that disagree on the home of a shard, and a clock that is two hours ahead.

#[path = "support/claim_sim/mod.rs"]
mod claim_sim;
#[path = "support/seeded.rs"]
mod seeded;

use claim_sim::{ClaimSim, SimCounts};
use proptest::collection::vec;
use proptest::prelude::*;
use seeded::{SEED, seeded};

/// Schedules to run, unless `PROPTEST_CASES` is larger.
const SCHEDULES: u32 = 10_000;

fn config() -> ProptestConfig {
    seeded(ProptestConfig::default().cases.max(SCHEDULES))
}

proptest! {
    #![proptest_config(config())]

    /// The call of a key runs at most once, and exactly once if any caller got its response. An
    /// attempt that was answered "not executed" never runs, then or later.
    #[test]
    fn claims_hold_under_any_schedule(choices in vec(any::<u16>(), 40..600)) {
        ClaimSim::new(choices).run();
    }
}

/// Guards the coverage of the schedules: each kind of answer and fault occurs in some of them.
#[test]
fn schedules_reach_every_outcome() {
    // Arrange
    let mut rng = fastrand::Rng::with_seed(SEED);
    let mut total = SimCounts::default();

    // Act
    for _ in 0..300 {
        let choices = (0..500).map(|_| rng.u16(..)).collect();
        for (name, count) in ClaimSim::new(choices).run() {
            *total.entry(name).or_default() += count;
        }
    }

    // Assert
    println!("seed {SEED}: {total:?}");
    let names = [
        "completed",
        "repeated",
        "not executed",
        "unknown",
        "lost",
        "superseded",
        "conflict",
        "late write",
        "page reuse",
    ];
    for name in names {
        assert!(
            total.get(name).is_some_and(|count| *count > 0),
            "{name}: {total:?}"
        );
    }
}
