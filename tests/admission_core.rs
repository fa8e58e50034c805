//! Fair queue, token bucket, concurrency limit and demand sharing, with given times.

use arbutusmount::{
    AdmissionDecision, BucketOutcome, ConcurrencyLimit, DemandRow, DemandTable, FairQueue,
    LimitSettings, MonoTime, QueueRequest, QueueSettings, TeamId, TokenBucket,
};
use proptest::prelude::*;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use test_case::test_case;

const SECOND: u64 = 1_000_000;

fn team(name: &str) -> TeamId {
    name.parse().expect("valid team name")
}

fn request(name: &str, priority: u8, weight: u32, cost: f64) -> QueueRequest {
    QueueRequest {
        team: team(name),
        priority,
        weight,
        cost,
    }
}

fn queue(limit: usize, max_entries: usize) -> FairQueue {
    let settings = QueueSettings {
        max_wait: Duration::from_secs(3_600),
        max_entries,
    };
    FairQueue::new(settings, limit)
}

/// Queue whose only place is taken by the team `holder` and whose reserve by the team `guest`.
fn busy_queue(max_entries: usize) -> FairQueue {
    let mut queue = queue(1, max_entries);
    for name in ["holder", "guest"] {
        let step = queue.submit(&request(name, 0, 1, 1.0), MonoTime(0));
        assert!(
            matches!(step, AdmissionDecision::Start(_)),
            "{name}: {step:?}"
        );
    }
    queue
}

/// Ends both requests of [`busy_queue`]; returns the requests that start then.
fn end_both(queue: &mut FairQueue) -> Vec<arbutusmount::AdmissionTicket> {
    let first = queue.finish(&team("guest"), Duration::from_secs(1));
    assert!(first.is_empty(), "the limit is still reached: {first:?}");
    queue.finish(&team("holder"), Duration::from_secs(1))
}

/// Submits `count` requests that must wait; returns their tickets with the team.
fn fill(
    queue: &mut FairQueue,
    request: &QueueRequest,
    count: usize,
) -> HashMap<arbutusmount::AdmissionTicket, TeamId> {
    let mut tickets = HashMap::new();
    for _ in 0..count {
        match queue.submit(request, MonoTime(0)) {
            AdmissionDecision::Wait { ticket, .. } => tickets.insert(ticket, request.team.clone()),
            other => panic!("expected to wait, got {other:?}"),
        };
    }
    tickets
}

#[test_case(1, 1, 0.5; "equal weights")]
#[test_case(3, 1, 0.75; "three to one")]
#[test_case(1, 4, 0.2; "one to four")]
fn waiting_teams_start_by_weight(large: u32, small: u32, expected: f64) {
    // Arrange
    let mut queue = busy_queue(1_000);
    let mut tickets = fill(&mut queue, &request("large", 0, large, 100.0), 200);
    tickets.extend(fill(&mut queue, &request("small", 0, small, 100.0), 200));

    // Act
    let mut started = end_both(&mut queue);
    let mut starts = 0;
    for _ in 0..100 {
        let ended = &tickets[&started[0]];
        starts += u32::from(*ended == team("large"));
        started = queue.finish(ended, Duration::from_secs(1));
    }

    // Assert
    let share = f64::from(starts) / 100.0;
    assert!((share - expected).abs() <= 0.02, "share {share}");
}

#[test]
fn light_team_starts_before_a_flood() {
    // Arrange
    let mut queue = busy_queue(1_000);
    fill(&mut queue, &request("flood", 0, 1, 100.0), 300);
    let light = fill(&mut queue, &request("light", 0, 1, 100.0), 1);

    // Act
    let first = end_both(&mut queue);
    let second = queue.finish(&team("flood"), Duration::from_secs(1));

    // Assert
    let started = [first, second].concat();
    assert!(started.iter().any(|ticket| light.contains_key(ticket)));
}

#[test]
fn idle_team_starts_above_the_limit_while_requests_are_long() {
    // Arrange: requests last a minute, and none may wait longer than 300 ms.
    let settings = QueueSettings {
        max_wait: Duration::from_millis(300),
        max_entries: 100,
    };
    let mut queue = FairQueue::new(settings, 8);
    let flood = request("flood", 0, 1, 100.0);
    queue.submit(&flood, MonoTime(0));
    queue.finish(&team("flood"), Duration::from_secs(60));
    for _ in 0..8 {
        queue.submit(&flood, MonoTime(0));
    }

    // Act
    let more = queue.submit(&flood, MonoTime(0));
    let light = queue.submit(&request("light", 0, 1, 100.0), MonoTime(0));
    let second = queue.submit(&request("light", 0, 1, 100.0), MonoTime(0));
    let other = queue.submit(&request("other", 0, 1, 100.0), MonoTime(0));
    let last = queue.submit(&request("last", 0, 1, 100.0), MonoTime(0));

    // Assert: the reserve is a quarter of the limit, one request for each team.
    assert!(matches!(more, AdmissionDecision::Refuse(_)), "{more:?}");
    assert!(matches!(light, AdmissionDecision::Start(_)), "{light:?}");
    assert!(matches!(second, AdmissionDecision::Refuse(_)), "{second:?}");
    assert!(matches!(other, AdmissionDecision::Start(_)), "{other:?}");
    assert!(matches!(last, AdmissionDecision::Refuse(_)), "{last:?}");
}

/// Queue whose limit has fallen while a flood of one team is in progress.
fn shrunk_queue() -> FairQueue {
    let mut queue = queue(16, 100);
    let flood = request("flood", 0, 1, 100.0);
    for _ in 0..16 {
        queue.submit(&flood, MonoTime(0));
    }
    queue.set_limit(8);
    queue
}

#[test]
fn idle_teams_keep_their_reserve_while_the_limit_falls() {
    // Arrange
    let mut queue = shrunk_queue();
    let names = ["light", "other", "last"];

    // Act
    let steps = names.map(|name| queue.submit(&request(name, 0, 1, 100.0), MonoTime(0)));

    // Assert: the reserve is a quarter of the new limit, although the flood is above the limit.
    assert!(matches!(steps[0], AdmissionDecision::Start(_)), "{steps:?}");
    assert!(matches!(steps[1], AdmissionDecision::Start(_)), "{steps:?}");
    assert!(
        matches!(steps[2], AdmissionDecision::Wait { .. }),
        "{steps:?}"
    );
}

#[test]
fn more_important_class_starts_first() {
    let mut queue = busy_queue(10);
    fill(&mut queue, &request("batch", 5, 1, 1.0), 3);
    let urgent = fill(&mut queue, &request("desk", 0, 1, 1_000.0), 1);

    let started = end_both(&mut queue);

    assert!(urgent.contains_key(&started[0]));
}

#[test]
fn full_queue_evicts_the_last_in_order() {
    // Arrange
    let mut queue = busy_queue(3);
    let flood = fill(&mut queue, &request("flood", 0, 1, 100.0), 3);

    // Act
    let light = queue.submit(&request("light", 0, 1, 100.0), MonoTime(0));
    let more = queue.submit(&request("flood", 0, 1, 100.0), MonoTime(0));

    // Assert
    let AdmissionDecision::Wait {
        evicted: Some(evicted),
        ..
    } = light
    else {
        panic!("expected an eviction, got {light:?}");
    };
    assert_eq!(flood.keys().max(), Some(&evicted));
    assert!(matches!(more, AdmissionDecision::Refuse(_)), "{more:?}");
}

#[test]
fn request_that_cannot_start_in_time_is_refused_at_once() {
    // Arrange: one request starts per second, and none may wait longer than 300 ms.
    let settings = QueueSettings {
        max_wait: Duration::from_millis(300),
        max_entries: 100,
    };
    let mut queue = FairQueue::new(settings, 1);
    let wanted = request("desk", 0, 1, 1.0);
    for second in 1..10 {
        queue.submit(&wanted, MonoTime(second * SECOND));
        queue.finish(&team("desk"), Duration::from_secs(1));
    }
    queue.submit(&wanted, MonoTime(10 * SECOND));

    // Act
    let step = queue.submit(&wanted, MonoTime(10 * SECOND));

    // Assert
    let AdmissionDecision::Refuse(delay) = step else {
        panic!("expected a refusal, got {step:?}");
    };
    assert!(delay >= Duration::from_millis(500), "{delay:?}");
}

#[test_case(100.0, 0.0; "empty after its burst")]
#[test_case(100.0, 500.0; "paid off after a large request")]
fn bucket_refills_at_its_rate(rate: f64, debt: f64) {
    let mut bucket = TokenBucket::new(rate, 200.0, MonoTime(0));
    assert_eq!(bucket.take(200.0, MonoTime(0)), BucketOutcome::Taken);
    bucket.adjust(-debt, MonoTime(0));

    let BucketOutcome::Empty(wait) = bucket.take(50.0, MonoTime(0)) else {
        panic!("the bucket is empty");
    };
    let expected = (50.0 + debt) / rate;

    assert!((wait.as_secs_f64() - expected).abs() < 0.01, "{wait:?}");
    let later = MonoTime(0).after(wait + Duration::from_millis(1));
    assert_eq!(bucket.take(50.0, later), BucketOutcome::Taken);
}

fn limit() -> ConcurrencyLimit {
    let settings = LimitSettings {
        target_gap: Duration::from_millis(58),
        initial: 64.0,
        floor: 4.0,
        ceiling: 1_000.0,
    };
    ConcurrencyLimit::new(settings, MonoTime(0))
}

/// Runs observation windows with the given gap while the limit is fully used.
fn run_windows(limit: &mut ConcurrencyLimit, windows: std::ops::Range<u64>, gap_ms: u64) {
    for window in windows {
        for _ in 0..40 {
            limit.observe(Duration::from_millis(gap_ms));
        }
        let in_use = limit.get();
        limit.update(MonoTime(window * 300_000), in_use);
    }
}

#[test]
fn limit_grows_while_gaps_are_short_and_shrinks_while_they_are_long() {
    let mut limit = limit();
    run_windows(&mut limit, 1..50, 20);
    let grown = limit.get();
    run_windows(&mut limit, 50..100, 80);
    let shrunk = limit.get();

    assert!(grown > 64, "{grown}");
    assert_eq!(shrunk, 4);
}

#[test]
fn slow_engines_do_not_starve_the_limit() {
    let mut limit = limit();

    run_windows(&mut limit, 1..50, 200);

    assert!(limit.get() >= 64, "{}", limit.get());
}

#[test]
fn few_long_gaps_do_not_shrink_the_limit() {
    let mut limit = limit();
    for window in 1..50 {
        for sample in 0..100 {
            let gap = if sample < 3 { 1_500 } else { 20 };
            limit.observe(Duration::from_millis(gap));
        }
        let in_use = limit.get();
        limit.update(MonoTime(window * 300_000), in_use);
    }

    assert!(limit.get() > 64, "{}", limit.get());
}

#[test]
fn daemons_share_a_limit_by_demand() {
    // Arrange
    let name = team("desk");
    let mut table = DemandTable::default();
    for _ in 0..20 {
        table.record_tokens(&name, 300.0);
        table.end_period(Duration::from_secs(1));
    }
    let row = DemandRow {
        team: name.to_string(),
        tokens_per_second: 100.0,
    };

    // Act
    table.merge_peer(&"router-2".parse().unwrap(), &[row], MonoTime(0));

    // Assert
    assert!((table.limit_share(&name, MonoTime(SECOND)) - 0.75).abs() < 0.01);
    let forgotten = table.limit_share(&name, MonoTime(10 * SECOND));
    assert!((forgotten - 1.0).abs() < 0.01, "{forgotten}");
}

/// All daemons together enforce hardly more than the limit, however many they are. Each of them had at
/// least a twentieth, so 83 daemons handed out more than four times a team's limit.
#[test_case(2)]
#[test_case(8)]
#[test_case(83)]
#[test_case(430)]
fn shares_of_all_daemons_stay_near_the_limit(daemons: usize) {
    let name = team("desk");
    let row = |demand: f64| DemandRow {
        team: name.to_string(),
        tokens_per_second: demand,
    };
    // One daemon sees most of the demand.
    let demands: Vec<f64> = (0..daemons)
        .map(|number| if number == 0 { 5_000.0 } else { 10.0 })
        .collect();

    let shares = (0..daemons).map(|local| {
        let mut table = DemandTable::default();
        for _ in 0..20 {
            table.record_tokens(&name, demands[local]);
            table.end_period(Duration::from_secs(1));
        }
        for (number, demand) in demands.iter().enumerate().filter(|(n, _)| *n != local) {
            let peer = format!("router-{number}").parse().unwrap();
            table.merge_peer(&peer, &[row(*demand)], MonoTime(0));
        }
        table.limit_share(&name, MonoTime(SECOND))
    });

    let total: f64 = shares.sum();
    assert!((0.99..=1.1).contains(&total), "{total} of the limit");
}

#[derive(Debug, Clone)]
enum QueueEvent {
    Arrive(u8, u8, u16),
    Finish,
    Abandon(u8),
    Limit(u8),
}

fn queue_event() -> impl Strategy<Value = QueueEvent> {
    prop_oneof![
        4 => (0..6_u8, 0..3_u8, 1..500_u16).prop_map(|(t, p, c)| QueueEvent::Arrive(t, p, c)),
        3 => Just(QueueEvent::Finish),
        1 => any::<u8>().prop_map(QueueEvent::Abandon),
        1 => (1..20_u8).prop_map(QueueEvent::Limit),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    /// Every ticket is started, evicted or abandoned exactly once, and a request never waits while
    /// there is room.
    #[test]
    fn queue_schedules_lose_no_request(events in prop::collection::vec(queue_event(), 1..120)) {
        let mut queue = queue(4, 8);
        let mut waiting = Vec::new();
        let mut running = Vec::new();
        let mut limit = 4_usize;
        // Teams whose only request in progress was started above the limit.
        let mut reserved: HashSet<TeamId> = HashSet::new();
        for (index, event) in events.into_iter().enumerate() {
            let now = MonoTime(index as u64 * 10_000);
            let started = match event {
                QueueEvent::Arrive(name, priority, cost) => {
                    let wanted = request(&format!("team-{name}"), priority, 1, f64::from(cost));
                    match queue.submit(&wanted, now) {
                        AdmissionDecision::Start(_) => {
                            if running.len() >= limit {
                                prop_assert!(!running.contains(&wanted.team));
                                let in_reserve = reserved.len().min(running.len() - limit);
                                prop_assert!(in_reserve < (limit / 4).max(1));
                                reserved.insert(wanted.team.clone());
                            }
                            running.push(wanted.team);
                        }
                        AdmissionDecision::Refuse(delay) => prop_assert!(!delay.is_zero()),
                        AdmissionDecision::Wait { ticket, evicted, .. } => {
                            if let Some(evicted) = evicted {
                                let place = waiting.iter().position(|(other, _)| *other == evicted);
                                prop_assert!(place.is_some());
                                waiting.swap_remove(place.unwrap());
                            }
                            waiting.push((ticket, wanted.team));
                        }
                    }
                    Vec::new()
                }
                QueueEvent::Finish if !running.is_empty() => {
                    let ended = running.swap_remove(index % running.len());
                    if !running.contains(&ended) {
                        reserved.remove(&ended);
                    }
                    queue.finish(&ended, Duration::from_secs(1))
                }
                QueueEvent::Abandon(pick) if !waiting.is_empty() => {
                    let (ticket, _) = waiting.swap_remove(pick as usize % waiting.len());
                    prop_assert!(queue.abandon(ticket));
                    prop_assert!(!queue.abandon(ticket));
                    Vec::new()
                }
                QueueEvent::Finish | QueueEvent::Abandon(_) => Vec::new(),
                QueueEvent::Limit(value) => {
                    limit = value as usize;
                    queue.set_limit(limit)
                }
            };
            for ticket in started {
                let place = waiting.iter().position(|(other, _)| *other == ticket);
                prop_assert!(place.is_some(), "started twice or unknown: {ticket:?}");
                prop_assert!(running.len() < limit);
                running.push(waiting.swap_remove(place.unwrap()).1);
            }
            if running.len() <= limit {
                reserved.clear();
            }
            prop_assert_eq!(queue.in_use(), running.len());
            prop_assert_eq!(queue.waiting(), waiting.len());
            prop_assert!(waiting.is_empty() || running.len() >= limit);
        }
    }
}
