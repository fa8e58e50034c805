//! What daemons know of each other's reservations, from 8 to 430 daemons, without sockets: digests are
//! handed over as they would be sent.

use arbutusmount::{
    DomainId, InstanceId, LoadTable, MonoTime, PeerGroups, PeerOrigin, PresenceRow,
    ReservationDigest, ReservationRow, campaign_delay,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

/// Period of sending digests.
const PERIOD: Duration = Duration::from_millis(200);
/// Target of the domain of the observing daemon.
const TARGET: u64 = 7;

fn address(number: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 10_000 + number)
        .parse()
        .expect("an address")
}

fn instance(number: usize) -> InstanceId {
    format!("router-{number:03}").parse().expect("an instance")
}

fn domain(number: usize, domains: usize) -> DomainId {
    format!("d{}", number % domains).parse().expect("a domain")
}

fn fleet(daemons: usize, domains: usize) -> Vec<PresenceRow> {
    (0..daemons)
        .map(|number| PresenceRow {
            instance: instance(number),
            domain: domain(number, domains),
            callers: address(number),
            peers: address(number),
            relay: None,
        })
        .collect()
}

fn groups(rows: &[PresenceRow], number: usize) -> PeerGroups {
    PeerGroups::new(rows.iter(), &rows[number].instance, &rows[number].domain)
}

fn digest(sender: usize, sequence: u64, requests: u32) -> ReservationDigest {
    ReservationDigest {
        sender: sender as u64,
        sequence,
        rows: vec![ReservationRow {
            target: TARGET,
            tokens: requests * 1_000,
            requests,
            unreachable: false,
            failing: false,
        }],
        ..ReservationDigest::default()
    }
}

/// Plays `periods` in which each daemon sends its digest. Returns the observer's table and the periods
/// after which it first heard of each daemon.
fn play(rows: &[PresenceRow], periods: u64, requests: u32) -> (LoadTable, HashMap<usize, u64>) {
    let observer = groups(rows, 0);
    let mut table = LoadTable::default();
    let mut heard = HashMap::new();
    for sequence in 1..=periods {
        let now = at(sequence);
        for sender in 1..rows.len() {
            if groups(rows, sender)
                .recipients(sequence)
                .contains(&address(0))
            {
                heard.entry(sender).or_insert(sequence);
                let origin = observer.origin(address(sender));
                table.record(digest(sender, sequence, requests), origin, now);
            }
        }
    }
    (table, heard)
}

fn at(sequence: u64) -> MonoTime {
    MonoTime::default().after(PERIOD * sequence as u32)
}

/// Guards against loads that go missing in large fleets: at 195 daemons, each was heard every 2.4 s, and
/// what was older than 2 s did not count.
#[test_case(8, 3)]
#[test_case(83, 3)]
#[test_case(195, 5)]
#[test_case(430, 15)]
fn daemons_of_a_domain_hear_each_other_within_a_second(daemons: usize, domains: usize) {
    let rows = fleet(daemons, domains);

    let (_, heard) = play(&rows, 5, 1);

    for (number, row) in rows.iter().enumerate().skip(1) {
        let is_heard = heard.contains_key(&number);
        assert!(is_heard || row.domain != rows[0].domain, "{number}");
    }
}

/// One target that requests of all daemons use, as after the loss of most of its service: its load must
/// be known although only some daemons of other domains are heard.
#[test_case(8, 3)]
#[test_case(83, 3)]
#[test_case(195, 5)]
#[test_case(430, 15)]
fn load_of_a_target_that_all_daemons_use_is_known(daemons: usize, domains: usize) {
    let rows = fleet(daemons, domains);
    let periods = 20;

    let (table, _) = play(&rows, periods, 2);

    let remote = groups(&rows, 0).remote_count();
    let load = table.totals(remote, at(periods))[&TARGET];
    let wanted = 2.0 * (daemons - 1) as f64;
    let share = f64::from(load.requests) / wanted;
    assert!((0.95..=1.05).contains(&share), "{share}");
}

/// Daemons that started together sent to the same ones at the same time: nothing for seconds, and then
/// the digests of the whole fleet in one period.
#[test_case(195, 5)]
#[test_case(430, 15)]
fn digests_arrive_evenly(daemons: usize, domains: usize) {
    let rows = fleet(daemons, domains);
    let senders: Vec<PeerGroups> = (1..daemons).map(|number| groups(&rows, number)).collect();

    for sequence in 1..=20 {
        let sent_to = |peers: &&PeerGroups| peers.recipients(sequence).contains(&address(0));
        let arrived = senders.iter().filter(sent_to).count();
        assert!(
            (4..=40).contains(&arrived),
            "{arrived} in period {sequence}"
        );
    }
}

/// Most bytes between domains were digests: each daemon sent four in five to other domains.
#[test_case(195, 5)]
#[test_case(430, 15)]
fn at_most_four_of_a_daemons_datagrams_in_a_period_leave_its_domain(
    daemons: usize,
    domains: usize,
) {
    let rows = fleet(daemons, domains);
    let peers = groups(&rows, 0);

    for sequence in 0..50 {
        let recipients = peers.recipients(sequence);
        let remote = recipients
            .iter()
            .filter(|peer| peers.origin(**peer) == PeerOrigin::Remote);
        assert_eq!(recipients.len(), 16);
        assert_eq!(remote.count(), 4);
    }
}

#[test]
fn each_daemon_of_another_domain_is_told_in_turn() {
    let rows = fleet(195, 5);
    let peers = groups(&rows, 0);
    let mut told: HashMap<SocketAddr, usize> = HashMap::new();

    for sequence in 0..39 {
        for peer in peers.recipients(sequence) {
            *told.entry(peer).or_default() += 1;
        }
    }

    let remote = told
        .iter()
        .filter(|(peer, _)| peers.origin(**peer) == PeerOrigin::Remote);
    assert!(remote.clone().all(|(_, count)| *count == 1));
    assert_eq!(remote.count(), 156);
}

/// A partition between domains leaves few remote daemons to be heard: they do not stand in for those
/// that are cut off.
#[test]
fn few_heard_daemons_are_not_taken_for_all() {
    let mut table = LoadTable::default();
    table.record(digest(1, 1, 5), PeerOrigin::Remote, at(1));

    let load = table.totals(156, at(1))[&TARGET];

    assert!(load.requests <= 5 * 4, "{load:?}");
}

/// A daemon that sends from an address that is not in the list of daemons says nothing about loads.
#[test]
fn digest_of_an_unlisted_sender_does_not_count() {
    let rows = fleet(195, 5);
    let peers = groups(&rows, 0);
    let mut table = LoadTable::default();

    table.record(digest(999, 1, 50), peers.origin(address(999)), at(1));

    assert!(table.totals(156, at(1)).is_empty());
}

#[test]
fn digests_that_arrive_late_or_twice_change_nothing() {
    let mut table = LoadTable::default();
    table.record(digest(1, 5, 3), PeerOrigin::Local, at(5));
    table.record(digest(1, 4, 9), PeerOrigin::Local, at(5));
    table.record(digest(1, 5, 9), PeerOrigin::Local, at(5));

    assert_eq!(table.totals(0, at(5))[&TARGET].requests, 3);
    assert!(table.totals(0, at(16)).is_empty(), "older than 2 s");
}

/// With the first daemons by name unable to lead, a fleet of 195 was without a leader for seconds.
#[test_case(8)]
#[test_case(195)]
#[test_case(430)]
fn campaign_for_the_lead_begins_within_two_seconds_whatever_the_rank(daemons: usize) {
    // The loss is noticed by the presence feed, and the campaign itself is a call to the store.
    let noticing = Duration::from_millis(600);

    assert!(campaign_delay(daemons - 1) + noticing < Duration::from_secs(2));
    assert!(campaign_delay(1) > campaign_delay(0), "not all at once");
}
