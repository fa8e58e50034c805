//! What claims, the admission queue and the sections of the configuration cost, without sockets.

use crate::capacity::CapacityPoint;
use crate::capacity::decisions::{make_document, time_operation};
use arbutusmount::{
    ClaimAttempt, ClaimPage, ClaimRequest, ConfigBundle, ConfigRevision, FairQueue, MonoTime,
    PageChange, QueueRequest, QueueSettings,
};
use std::time::Duration;

/// Claims on one page, up to the most it holds.
const PAGE_CLAIM_COUNTS: [u32; 4] = [100, 1_000, 5_000, 20_000];
/// Teams with requests waiting in one queue.
const TEAM_COUNTS: [usize; 4] = [10, 300, 1_000, 2_400];
/// Sizes of the configuration: targets and teams together.
const CONFIG_SIZES: [(usize, usize); 4] = [(36, 10), (300, 300), (1_700, 1_000), (14_000, 2_400)];

/// Times and bytes at several sizes.
pub fn measure_state() -> Vec<CapacityPoint> {
    let mut points = Vec::new();
    for rows in PAGE_CLAIM_COUNTS {
        measure_page(rows, &mut points);
    }
    for teams in TEAM_COUNTS {
        measure_queue(teams, &mut points);
    }
    for (targets, teams) in CONFIG_SIZES {
        measure_sections(targets, teams, &mut points);
    }
    points
}

fn make_claim(number: u32) -> ClaimRequest {
    let team = "dispatch".parse().expect("valid name");
    let service = "bays".parse().expect("valid name");
    ClaimRequest::new(&team, &service, &format!("order-{number}"), 1)
}

fn make_change(number: u32) -> PageChange {
    PageChange::Claim {
        claim: make_claim(number),
        attempt: ClaimAttempt(u64::from(number)),
        owner: format!("router-{}", number % 430)
            .parse()
            .expect("valid name"),
        supersedes: None,
    }
}

fn measure_page(rows: u32, points: &mut Vec<CapacityPoint>) {
    let mut page = ClaimPage::default();
    for number in 0..rows {
        page.apply(&make_change(number), 1_000);
    }
    let size = f64::from(rows);
    let mut add = |measure: &str, value: f64| {
        points.push(CapacityPoint::new(
            measure,
            "claim on the page",
            size,
            value,
        ));
    };
    let claim = make_claim(rows / 2);
    add(
        "look up claim, ns",
        time_operation(|| page.find(&claim).is_some()),
    );
    let again = make_change(rows / 2);
    add(
        "apply claim, ns",
        time_operation(|| page.apply(&again, 1_000)),
    );
    add("claim page, bytes", page.encode().len() as f64);
    add(
        "encode claim page, us",
        time_operation(|| page.encode()) / 1_000.0,
    );
}

fn measure_queue(teams: usize, points: &mut Vec<CapacityPoint>) {
    let settings = QueueSettings {
        max_wait: Duration::from_secs(3_600),
        max_entries: 100_000,
    };
    let mut queue = FairQueue::new(settings, 64);
    let offer = |number: usize| QueueRequest {
        team: format!("team-{number:04}").parse().expect("valid name"),
        priority: (number % 3) as u8,
        weight: 1 + (number % 5) as u32,
        cost: 100.0,
    };
    let offers: Vec<QueueRequest> = (0..teams).map(offer).collect();
    let now = MonoTime(1);
    for entry in offers.iter().cycle().take(64 + 2 * teams) {
        queue.submit(entry, now);
    }
    let mut next = offers.iter().cycle();
    let mut ended = offers.iter().cycle();
    let nanos = time_operation(|| {
        let team = &ended.next().expect("the cycle never ends").team;
        let started = queue.finish(team, Duration::from_millis(500));
        next.next().map(|entry| (queue.submit(entry, now), started))
    });
    let measure = "admit one and end one, ns";
    points.push(CapacityPoint::new(
        measure,
        "team waiting",
        teams as f64,
        nanos,
    ));
}

fn measure_sections(targets: usize, teams: usize, points: &mut Vec<CapacityPoint>) {
    let document = make_document(teams, targets);
    let bundle = ConfigBundle::split(ConfigRevision(1), &document, Vec::new());
    let head = serde_json::to_vec(&bundle.head)
        .expect("heads serialize")
        .len();
    let sizes = bundle.sections.values().map(|content| content.len());
    let largest = sizes.clone().max().unwrap_or_default();
    let micros = time_operation(|| bundle.assemble().is_ok()) / 1_000.0;
    let total = sizes.sum::<usize>() as f64;
    for (measure, value) in [
        ("configuration head, bytes", head as f64),
        ("largest section, bytes", largest as f64),
        ("all sections, bytes", total),
        ("assemble configuration, us", micros),
    ] {
        points.push(CapacityPoint::new(
            measure,
            "target, with teams",
            targets as f64,
            value,
        ));
    }
}
