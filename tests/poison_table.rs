//! Crashes that daemons record and tell to each other, and the requests that these condemn.

use arbutusmount::{
    CrashState, CrashedRun, MonoTime, PoisonEntry, PoisonFingerprint, PoisonLimits, PoisonRow,
    PoisonTable,
};
use std::time::Duration;
use test_case::test_case;

const NOW: MonoTime = MonoTime(1_000_000);
const TTL: Duration = Duration::from_secs(600);
const LIMITS: PoisonLimits = PoisonLimits {
    crashes: 3,
    certain_crashes: 5,
};

fn fingerprint(request: &str) -> PoisonFingerprint {
    PoisonFingerprint::new(&[request.as_bytes()])
}

fn crash(table: &PoisonTable, request: &str, run: u64) {
    let entry = PoisonEntry::new([CrashedRun(run)], CrashState::Counted, NOW.after(TTL));
    table.merge(fingerprint(request), &entry, NOW);
}

fn crash_all(table: &PoisonTable, request: &str, runs: &[u64]) {
    for run in runs {
        crash(table, request, *run);
    }
}

/// True when a request with these fingerprints is refused.
fn is_poison(table: &PoisonTable, held: &[&str]) -> bool {
    let fingerprints: Vec<PoisonFingerprint> = held.iter().map(|one| fingerprint(one)).collect();
    table.refusal_time(&fingerprints, NOW).is_some()
}

/// Tells `to` all that `from` knows, as over the network.
fn tell(from: &PoisonTable, to: &PoisonTable) {
    for (key, entry) in from.entries(NOW) {
        let row = PoisonRow::new(key, &entry, NOW);
        to.merge(row.fingerprint(), &row.entry(NOW, TTL), NOW);
    }
}

/// Crashes that two daemons saw apart count together. The higher of the two counts was kept.
#[test]
fn crashes_seen_by_two_daemons_add_up() {
    let tables = [PoisonTable::default(), PoisonTable::default()];
    crash(&tables[0], "a", 1);
    crash(&tables[1], "a", 2);

    tell(&tables[1], &tables[0]);

    assert_eq!(tables[0].crashes(fingerprint("a"), NOW), 2);
}

#[test]
fn one_crash_that_two_daemons_saw_counts_once() {
    let tables = [PoisonTable::default(), PoisonTable::default()];
    for table in &tables {
        crash(table, "a", 1);
    }

    tell(&tables[1], &tables[0]);

    assert_eq!(tables[0].crashes(fingerprint("a"), NOW), 1);
}

/// A crash that a daemon has cleared stays cleared when another one still tells of it. The count
/// came back with each exchange.
#[test]
fn cleared_crash_does_not_come_back() {
    let tables = [PoisonTable::default(), PoisonTable::default()];
    for table in &tables {
        crash(table, "a", 1);
    }
    tables[0].clear(fingerprint("a"), 3);

    tell(&tables[1], &tables[0]);
    tell(&tables[0], &tables[1]);

    assert_eq!(tables[0].crashes(fingerprint("a"), NOW), 0);
    assert_eq!(tables[1].crashes(fingerprint("a"), NOW), 0);
}

#[test]
fn progress_clears_only_requests_below_the_limit() {
    let table = PoisonTable::default();
    (1..=3).for_each(|run| crash(&table, "a", run));

    assert_eq!(table.clear(fingerprint("a"), 3), Vec::new());
    assert_eq!(table.clear(fingerprint("a"), 4).len(), 3);
}

/// `a` crashes the runs in the first list, `b` was on those in the second one.
#[test_case(&[1, 2], &[] => (false, false); "too few crashes")]
#[test_case(&[1, 2, 3], &[] => (true, false); "alone")]
#[test_case(&[1, 2, 3], &[1, 2] => (true, false); "beside it twice")]
#[test_case(&[1, 2, 3], &[1, 2, 3] => (false, false); "beside it each time")]
#[test_case(&[1, 2, 3, 4], &[1, 2, 3] => (true, false); "a further crash tells them apart")]
#[test_case(&[1, 2, 3, 4], &[1, 2, 3, 4] => (false, false); "beside it each time and once more")]
#[test_case(&[1, 2, 3, 4, 5], &[1, 2, 3, 4, 5] => (true, true); "too often for either to be spared")]
#[test_case(&[1, 2, 3, 4, 5, 6], &[1, 2, 3, 4, 5] => (true, false); "told apart late")]
fn condemned_requests(a: &[u64], b: &[u64]) -> (bool, bool) {
    let table = PoisonTable::new(LIMITS);
    for (request, runs) in [("a", a), ("b", b)] {
        for run in runs {
            crash(&table, request, *run);
        }
    }

    (is_poison(&table, &["a"]), is_poison(&table, &["b"]))
}

/// A request that ran beside each crash is told apart by its progress, without a further crash.
#[test]
fn progress_of_the_other_request_condemns_the_one_that_crashes() {
    let table = PoisonTable::default();
    for request in ["a", "b"] {
        (1..=3).for_each(|run| crash(&table, request, run));
    }

    table.clear(fingerprint("b"), 4);

    assert!(is_poison(&table, &["a"]));
    assert!(!is_poison(&table, &["b"]));
}

#[test]
fn entry_expires() {
    let table = PoisonTable::default();
    (1..=3).for_each(|run| crash(&table, "a", run));
    let later = NOW.after(TTL);

    assert_eq!(table.refusal_time(&[fingerprint("a")], later), None);
    assert_eq!(table.take_expired(later, Duration::from_secs(1)).len(), 0);
    assert_eq!(table.take_expired(later, Duration::ZERO).len(), 1);
    assert!(table.is_empty());
}

/// A part that is beside some crashes of another one, and under one of its own, is not refused. It
/// was, as long as one of its crashes had no explanation with as many crashes.
#[test]
fn rare_part_beside_crashes_of_another_one_is_not_refused() {
    let table = PoisonTable::new(LIMITS);
    (1..=5).for_each(|run| crash(&table, "bad", run));
    crash_all(&table, "rare", &[2, 3, 6]);

    assert!(is_poison(&table, &["own", "bad"]));
    assert!(!is_poison(&table, &["own", "rare"]));
}

/// Two parts that crash targets at the same time are both refused, and a part beside both is not.
#[test]
fn two_bad_parts_are_both_refused() {
    let table = PoisonTable::new(LIMITS);
    crash_all(&table, "bad", &[1, 2, 3, 4]);
    crash_all(&table, "dead", &[4, 5, 6, 7]);
    crash_all(&table, "sound", &[1, 2, 6]);

    assert!(is_poison(&table, &["bad"]));
    assert!(is_poison(&table, &["dead"]));
    assert!(!is_poison(&table, &["sound"]));
}

/// Of two parts that were beside each other in all crashes, either may be to blame. A request with
/// only one of them is let through, and its end decides.
#[test]
fn parts_that_were_always_together_are_refused_only_together() {
    let table = PoisonTable::new(LIMITS);
    for part in ["bad", "twin"] {
        (1..=3).for_each(|run| crash(&table, part, run));
    }
    assert!(is_poison(&table, &["own", "bad", "twin"]));
    assert!(!is_poison(&table, &["own", "bad"]));
    assert!(!is_poison(&table, &["own", "twin"]));

    crash(&table, "bad", 4);

    assert!(is_poison(&table, &["own", "bad"]));
    assert!(!is_poison(&table, &["own", "twin"]));
}

/// A batch of requests beside each crash does not push out the fingerprint that explains them.
#[test]
fn many_requests_beside_crashes_leave_the_one_that_explains_them() {
    let table = PoisonTable::new(LIMITS);
    for run in 1..=30 {
        crash(&table, "bad", run);
        for beside in 0..200 {
            crash(&table, &format!("beside-{run}-{beside}"), run);
        }
    }

    assert_eq!(table.crashes(fingerprint("bad"), NOW), 30);
    assert!(is_poison(&table, &["own", "bad"]));
    assert!(table.entries(NOW).len() <= 4_096);
}
