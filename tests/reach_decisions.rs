//! Decisions about the path to all targets, without sockets: the loss of the path is told apart from the
//! end of targets.

use arbutusmount::{
    MonoTime, PathLoss, PeerReach, ReachCandidate, ReachChange, ReachStatement, ReachStep,
    ReachTracker,
};
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

const START: MonoTime = MonoTime(1_000_000);

fn after(millis: u64) -> MonoTime {
    START.after(Duration::from_millis(millis))
}

/// Targets of two services in turn.
fn candidates(count: u64) -> Vec<ReachCandidate> {
    let row = |run: u64| ReachCandidate {
        run,
        service: ["desk", "shop"][run as usize % 2]
            .parse()
            .expect("names are valid"),
    };
    (0..count).map(row).collect()
}

/// Plays probes until there is a verdict: connects to targets for which `accepts` is false fail. Returns the
/// verdict and the number of probes.
fn decide(
    tracker: &mut ReachTracker,
    candidates: &[ReachCandidate],
    now: MonoTime,
    accepts: impl Fn(&ReachCandidate) -> bool,
) -> (ReachStep, usize) {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut probes = 0;
    loop {
        let step = tracker.next_step(candidates, now, &mut rng);
        let ReachStep::Probe(indices) = step else {
            return (step, probes);
        };
        assert!(!indices.is_empty(), "a probe of nothing never ends");
        probes += indices.len();
        for index in indices {
            let candidate = &candidates[index];
            if accepts(candidate) {
                tracker.on_connected(now);
            } else {
                tracker.on_failed(candidate.run, now, PathLoss::Silent);
            }
        }
    }
}

/// With all targets out of reach, the path is lost after a few probes, however many targets there are.
#[test_case(3, 2)]
#[test_case(36, 5)]
#[test_case(1_700, 5)]
fn path_is_lost_when_a_sample_of_all_targets_fails(targets: u64, most_probes: usize) {
    let candidates = candidates(targets);
    let mut tracker = ReachTracker::default();
    tracker.on_failed(0, after(0), PathLoss::Silent);

    let (step, probes) = decide(&mut tracker, &candidates, after(300), |_| false);

    assert_eq!(step, ReachStep::Unreachable);
    assert!(probes <= most_probes, "{probes} probes");
}

/// A target that has ended, or all of one service, is no loss of the path.
#[test_case(|row| row.run != 0; "one target has ended")]
#[test_case(|row| row.run % 2 == 1; "all targets of a service have ended")]
fn end_of_targets_is_no_loss_of_the_path(accepts: fn(&ReachCandidate) -> bool) {
    let candidates = candidates(36);
    let mut tracker = ReachTracker::default();
    tracker.on_failed(0, after(0), PathLoss::Refused);

    let (step, _) = decide(&mut tracker, &candidates, after(5), accepts);

    assert_eq!(step, ReachStep::Reachable);
}

/// Nothing is listed, little is listed, or nothing was tried: no verdict against the path.
#[test_case(0, true; "nothing is listed")]
#[test_case(2, true; "too few targets to tell")]
#[test_case(36, false; "nothing was tried")]
fn without_evidence_the_path_is_not_lost(targets: u64, has_failed: bool) {
    let candidates = candidates(targets);
    let mut tracker = ReachTracker::default();
    if has_failed {
        tracker.on_failed(0, after(0), PathLoss::Silent);
    }

    let (step, probes) = decide(&mut tracker, &candidates, after(300), |_| false);

    assert_eq!((step, probes), (ReachStep::Reachable, 0));
}

/// A connect that began before another target accepted one says nothing, nor does one of long ago.
#[test]
fn stale_failures_do_not_count() {
    let candidates = candidates(36);
    let mut tracker = ReachTracker::default();
    tracker.on_connected(after(100));
    tracker.on_failed(0, after(0), PathLoss::Silent);
    let (step, probes) = decide(&mut tracker, &candidates, after(300), |_| false);
    assert_eq!((step, probes), (ReachStep::Reachable, 0));

    tracker.on_failed(0, after(300), PathLoss::Silent);
    let (step, probes) = decide(&mut tracker, &candidates, after(60_000), |_| false);
    assert_eq!((step, probes), (ReachStep::Reachable, 0));
}

#[test]
fn loss_is_reported_once_and_ends_with_the_first_connect() {
    let mut tracker = ReachTracker::default();
    for run in 0..6 {
        tracker.on_failed(run, after(0), PathLoss::Refused);
    }

    assert_eq!(
        tracker.mark_lost(after(10)),
        ReachChange::Lost(PathLoss::Refused, 6)
    );
    assert_eq!(tracker.mark_lost(after(20)), ReachChange::None);
    assert_eq!(
        tracker.on_connected(after(510)),
        ReachChange::Regained(Duration::from_millis(500))
    );
    assert_eq!(tracker.on_connected(after(520)), ReachChange::None);
}

fn peer() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_340))
}

fn statement(version: u64, is_lost: bool) -> ReachStatement {
    ReachStatement { version, is_lost }
}

/// Statements that overtake each other, of an earlier run and of a daemon that fell silent.
#[test]
fn latest_statement_of_the_running_daemon_counts() {
    let peers = PeerReach::default();
    assert!(!peers.is_lost(peer(), START) && !peers.is_sound(peer(), START));

    peers.record(peer(), 1, statement(3, true), after(0));
    peers.record(peer(), 1, statement(2, false), after(10));
    assert!(peers.is_lost(peer(), after(20)));

    peers.record(peer(), 2, statement(0, false), after(30));
    assert!(peers.is_sound(peer(), after(40)));

    peers.record(peer(), 2, statement(1, true), after(50));
    assert!(!peers.is_lost(peer(), after(60_000)));
    assert!(!peers.is_sound(peer(), after(60_000)));
}

/// Callers return to a daemon little by little once its path is back.
#[test]
fn daemon_is_named_more_and_more_often_after_its_return() {
    let peers = PeerReach::default();
    peers.record(peer(), 1, statement(1, true), after(0));
    assert!(peers.named_share(peer(), after(100)) <= 0.0);

    peers.record(peer(), 1, statement(2, false), after(1_000));
    let shares = [1_000, 2_000, 3_000, 9_000].map(|at| peers.named_share(peer(), after(at)));

    assert!(
        shares[0] < 0.01 && (0.4..0.6).contains(&shares[1]),
        "{shares:?}"
    );
    assert!(shares[2] > 0.99 && shares[3] > 0.99, "{shares:?}");
}
