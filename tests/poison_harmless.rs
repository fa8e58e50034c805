//! Parts of prompts that whole answers have shown to be harmless.

use arbutusmount::{HarmlessParts, MonoTime, PoisonFingerprint};
use std::time::Duration;

const NOW: MonoTime = MonoTime(1_000_000);

/// A part that turns bad is not taken for harmless for long.
#[test]
fn part_is_harmless_only_for_a_while_after_a_whole_answer() {
    let harmless = HarmlessParts::default();
    let part = PoisonFingerprint(1);

    harmless.record(&[part], NOW);

    assert!(harmless.contains(part, NOW.after(Duration::from_secs(5))));
    assert!(!harmless.contains(part, NOW.after(Duration::from_secs(60))));
    assert!(!harmless.contains(PoisonFingerprint(2), NOW));
}

/// The latest parts are kept when there are many, and memory stays bounded.
#[test]
fn latest_of_many_parts_are_kept() {
    let harmless = HarmlessParts::default();
    let time = |number: u128| NOW.after(Duration::from_micros(number as u64));

    for number in 0..20_000 {
        harmless.record(&[PoisonFingerprint(number)], time(number));
    }

    assert!(harmless.contains(PoisonFingerprint(19_999), time(20_000)));
    assert!(!harmless.contains(PoisonFingerprint(0), time(20_000)));
}
