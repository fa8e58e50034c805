//! A site that speaks the platform's protocol: stand-ins of the platform and daemons on loopback.

#![allow(dead_code, reason = "each test program uses a part of the fixtures")]

use arbutusmount::BudgetLimits;
use async_std::task;
use rig::{SiteFleet, SiteRequest, SiteResponse, SiteSpec, send_site_request, wait_until};
use std::time::Duration;

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(10);

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
