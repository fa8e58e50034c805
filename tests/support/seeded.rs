//! Configuration of property tests, with a fixed seed that is printed.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// Seed unless `PROPTEST_RNG_SEED` gives another one.
pub const SEED: u64 = 20_261_203;

/// Configuration for this many cases; prints the seed.
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
