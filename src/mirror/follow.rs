//! Keeps a [`PrefixMirror`] up to date through a [`StorePort`].

use crate::mirror::port::{PortError, StorePort};
use crate::mirror::prefix::{MirrorChange, MirrorStep, PrefixMirror};
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

/// Pause after the first failed call; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between failed calls. Spread by half, it keeps 430 daemons with three prefixes each
/// below the store's limit on reading calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Random addition to a list after a history gap, so that daemons do not all list at once.
const LIST_SPREAD: Duration = Duration::from_millis(50);

/// What to follow and how often to ask.
#[derive(Debug, Clone)]
pub struct FollowSpec {
    /// Prefix.
    pub prefix: Arc<str>,
    /// Time that a watch waits for the first change.
    pub wait: Duration,
    /// Pause after a watch that returned changes, so that several are taken together.
    pub gather: Duration,
}

/// What is reported while following.
#[derive(Debug)]
pub enum FollowNotice<'a> {
    /// Changes, in order; possibly none: the store has answered.
    Changed(&'a PrefixMirror, &'a [MirrorChange]),
    /// A call failed.
    Failed(&'a PortError),
}

/// Follows a prefix for ever.
pub async fn follow_prefix(
    port: StorePort,
    spec: FollowSpec,
    mut report: impl FnMut(FollowNotice<'_>),
) {
    let mut mirror = PrefixMirror::default();
    let mut pause = FIRST_PAUSE;
    loop {
        let answered = match mirror.next_step() {
            MirrorStep::List(after) => {
                let page = (port.list)((Arc::clone(&spec.prefix), after)).await;
                page.map(|page| mirror.on_page(page))
            }
            MirrorStep::Watch(revision) => {
                let watch = (port.watch)((Arc::clone(&spec.prefix), revision, spec.wait)).await;
                watch.map(|outcome| mirror.on_watch(outcome))
            }
        };
        match answered {
            Ok(changes) => {
                pause = FIRST_PAUSE;
                report(FollowNotice::Changed(&mirror, &changes));
                let listing = matches!(mirror.next_step(), MirrorStep::List(None));
                match listing {
                    true => task::sleep(LIST_SPREAD.mul_f64(fastrand::f64())).await,
                    false if !changes.is_empty() => task::sleep(spec.gather).await,
                    false => {}
                }
            }
            Err(cause) => {
                mirror.on_failure();
                report(FollowNotice::Failed(&cause));
                task::sleep(pause.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}
