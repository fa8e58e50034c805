//! Counts the calls to the store by their kind.

use crate::mirror::port::{PortCall, StorePort};
use prometheus::IntCounterVec;
use std::sync::Arc;

/// Kinds of calls, as they are counted.
pub const CALL_KINDS: [&str; 6] = ["list", "watch", "commit", "grant", "renew", "revoke"];

/// Returns the same calls, each of which is counted when it is made.
pub fn count_calls(port: StorePort, counts: &IntCounterVec) -> StorePort {
    let [list, watch, commit, grant, renew, revoke] = CALL_KINDS;
    StorePort {
        era: port.era,
        list: counted(port.list, counts, list),
        watch: counted(port.watch, counts, watch),
        commit: counted(port.commit, counts, commit),
        grant: counted(port.grant, counts, grant),
        renew: counted(port.renew, counts, renew),
        revoke: counted(port.revoke, counts, revoke),
    }
}

fn counted<Q: 'static, R: 'static>(
    call: PortCall<Q, R>,
    counts: &IntCounterVec,
    kind: &str,
) -> PortCall<Q, R> {
    let count = counts.with_label_values(&[kind]);
    Arc::new(move |query| {
        count.inc();
        call(query)
    })
}
