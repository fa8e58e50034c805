//! Settings of property tests whose seed is fixed and printed.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// Seed of the schedules, unless `PROPTEST_RNG_SEED` names another one.
pub const SEED: u64 = 20_261_203;

/// Runs this many cases, from a seed that is printed.
pub fn seeded(cases: u32) -> ProptestConfig {
    let config = ProptestConfig::with_cases(cases);
    let rng_seed = match config.rng_seed {
        RngSeed::Random => RngSeed::Fixed(SEED),
        given @ RngSeed::Fixed(_) => given,
    };
    println!("{rng_seed:?}");
    ProptestConfig {
        rng_seed,
        failure_persistence: None,
        ..config
    }
}
