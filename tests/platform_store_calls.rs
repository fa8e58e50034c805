//! Calls that a fleet makes to the store, by kind.

#[path = "support/site.rs"]
mod site;

use rig::{SiteDaemon, SiteFleet, SiteSpec, sample_config};
use site::until;
use std::thread;
use std::time::Duration;

/// Daemons of each of the three failure domains.
const DAEMONS_PER_DOMAIN: usize = 8;
/// Kinds of calls whose figures are printed.
const KINDS: [&str; 6] = ["list", "watch", "commit", "grant", "renew", "revoke"];
/// Time in which a fleet settles after its start.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Time without any change.
const QUIET_TIME: Duration = Duration::from_secs(10);
/// Configuration changes, one every `CHANGE_PERIOD`.
const CHANGES: u64 = 10;
const CHANGE_PERIOD: Duration = Duration::from_millis(300);

fn calls(site: &SiteFleet) -> [u64; 6] {
    let count = |daemon: &SiteDaemon, kind| {
        let requests = &daemon.state.context.metrics.store_requests;
        requests.with_label_values(&[kind]).get()
    };
    KINDS.map(|kind| site.daemons.iter().map(|daemon| count(daemon, kind)).sum())
}

fn version(daemon: &SiteDaemon) -> u64 {
    let catalog = daemon.state.context.catalog.load();
    catalog.map_or(0, |catalog| catalog.version)
}

/// Calls at the start, in a quiet time and during configuration changes.
fn phases(saves_calls: bool) -> [[u64; 6]; 3] {
    let mut site = SiteFleet::without_daemons(SiteSpec {
        models_per_domain: 1,
        domains: 3,
        saves_calls,
        ..SiteSpec::default()
    });
    for number in 0..DAEMONS_PER_DOMAIN * 3 {
        let domain = format!("d{}", number % 3);
        let daemon = site.start_daemon(&format!("router-{number}"), &domain, 0);
        site.daemons.push(daemon);
    }
    thread::sleep(SETTLE_TIME);
    let started = calls(&site);
    thread::sleep(QUIET_TIME);
    let quiet = calls(&site);
    for wanted in 2..2 + CHANGES {
        site.store.put("op/config", &sample_config(wanted));
        thread::sleep(CHANGE_PERIOD);
        until("the configuration to be in force", || {
            site.daemons.iter().all(|daemon| version(daemon) == wanted)
        });
    }
    let changed = calls(&site);
    let since = |later: [u64; 6], earlier: [u64; 6]| {
        std::array::from_fn(|kind| later[kind] - earlier[kind])
    };
    let phases = [started, since(quiet, started), since(changed, quiet)];
    println!("saves_calls {saves_calls}, {KINDS:?}: start, quiet, changes {phases:?}");
    phases
}

/// Price of calls: a renewal of a lease costs a tenth.
fn price(calls: [u64; 6]) -> f64 {
    let weight = |kind| if kind == "renew" { 0.1 } else { 1.0 };
    let priced = KINDS.iter().zip(calls);
    priced
        .map(|(kind, count)| weight(*kind) * count as f64)
        .sum()
}

/// Guards against watches that each reader and each daemon that starts makes, which are most of the price
/// of a day: start, quiet time and changes each have to need at most half of the watches. All together
/// have to cost at most half, so that other calls do not take their place: daemons that campaigned by
/// their first list made 91 commits more.
#[test]
fn saving_halves_the_price() {
    let before = phases(false);
    let after = phases(true);

    for (before, after) in before.iter().zip(&after) {
        let watch = 1;
        assert!(after[watch] * 2 <= before[watch], "{after:?} of {before:?}");
    }
    let total = |phases: [[u64; 6]; 3]| phases.map(price).iter().sum::<f64>();
    let (before, after) = (total(before), total(after));
    assert!(after * 2.0 <= before, "{after} of {before}");
}
