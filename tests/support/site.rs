//! A site that speaks the platform's protocol: stand-ins of the platform and daemons on loopback.

#![allow(dead_code, reason = "each test program uses a part of the fixtures")]

use arbutusmount::BudgetLimits;
use async_std::task;
use rig::{
    LinkState, SiteFleet, SiteRequest, SiteResponse, SiteSpec, sample_config, send_site_request,
    wait_until,
};
use std::time::Duration;

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(10);
/// Requests after which a daemon knows that its path to the targets is lost.
const WARM_UP: usize = 3;

/// Starts a site with two plain servers and no model.
pub fn plain_site() -> SiteFleet {
    SiteFleet::start(SiteSpec {
        models_per_domain: 0,
        ..SiteSpec::default()
    })
}

/// Starts a site with two failure domains that each hold a complete chain.
pub fn model_site() -> SiteFleet {
    SiteFleet::start(SiteSpec {
        plain_servers: 0,
        domains: 2,
        ..SiteSpec::default()
    })
}

/// A site of two daemons in one failure domain, of which the first has lost its path to the targets.
pub fn site_without_a_path(models_per_domain: usize) -> SiteFleet {
    let spec = SiteSpec {
        daemons: 2,
        plain_servers: 4,
        models_per_domain,
        domains: 1,
        ..SiteSpec::default()
    };
    let mut site = SiteFleet::without_daemons(spec);
    site.daemons
        .push(site.start_linked_daemon("router-0", "d0"));
    site.daemons.push(site.start_daemon("router-1", "d0", 0));
    site.wait_ready(spec);
    until("the daemons to know each other", || {
        let mut daemons = site.daemons.iter();
        daemons.all(|daemon| daemon.state.context.sound_peers().len() == 1)
    });
    site.daemons[0].links.set_state(LinkState::Silent);
    for number in 0..WARM_UP {
        let request = SiteRequest::new("POST", "/post/w", &format!("w{number}"));
        send_site_request(site.daemons[0].address, &request);
    }
    assert!(site.daemons[0].state.context.is_cut_off());
    site
}

/// Allows request bodies of up to this many bytes; returns once all daemons know.
pub fn allow_uploads(site: &SiteFleet, body_bytes: usize) {
    let mut config = sample_config(2);
    config["Limits"]["MaxBodyBytes"] = body_bytes.into();
    site.store.put("op/config", &config);
    until("the configuration to be in force", || {
        let mut daemons = site.daemons.iter();
        daemons.all(|daemon| {
            let catalog = daemon.state.context.catalog.load();
            catalog.is_some_and(|catalog| catalog.version == 2)
        })
    });
}

/// Allows the first daemon this number of retries in a window.
pub fn allow_retries(site: &SiteFleet, retries: f64) {
    let limits = BudgetLimits {
        ratio: 0.0,
        allowance: retries,
        window: Duration::from_secs(10),
    };
    site.daemons[0].state.context.budget.set_limits(limits);
}

/// Waits until a condition holds.
pub fn until(what: &str, holds: impl Fn() -> bool) {
    task::block_on(wait_until(what, LIMIT, || async { holds() }));
}

/// Sends a request to the first daemon.
pub fn call(site: &SiteFleet, call: &SiteRequest) -> SiteResponse {
    send_site_request(site.daemons[0].address, call)
}

/// Request for a stream of events.
pub fn stream_call(attempt: &str) -> SiteRequest {
    let fields = vec![("X-Token-Count", "100,60".to_owned())];
    SiteRequest {
        fields,
        ..SiteRequest::new("POST", "/stream/x", attempt)
    }
}
