//! Writes a new configuration with one compare-and-swap, and finds out the outcome of a write whose
//! reply was lost.

use crate::config::adoption::{CONFIG_KEY, REVISION_KEY, offer_bundle, section_key};
use crate::config::sections::{ConfigBundle, read_head};
use crate::config::{ChangeEntry, ConfigDocument, ConfigHead, append_change};
use crate::ids::{ConfigRevision, PlanId};
use crate::kernel::KernelContext;
use crate::store::{ExpectedRevision, StoreBatch, StoreError, StoreRecord, SwapOutcome};
use async_std::task;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time limit for finding out whether a write took effect.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay before the write is repeated to find out its outcome.
const RESOLVE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Outcome of a plan, as read from a configuration head that is at least as new as the plan's base.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanOutcome {
    /// The plan has been written.
    Applied {
        /// Revision that the plan wrote.
        revision: ConfigRevision,
        /// Revision of the head, when a later change has superseded the plan.
        superseded_by: Option<ConfigRevision>,
    },
    /// Another change was written on the plan's base, so that this plan can never take effect.
    Conflict {
        /// Changes since the plan's base that are in the head's history, oldest first.
        changes: Vec<ChangeEntry>,
    },
    /// The head is still at the plan's base; the plan may yet be written.
    Pending,
}

/// Determines the outcome of a plan made against `base` from the head at `revision`.
///
/// A plan is written by a compare-and-swap on its base, and revisions never repeat: once the head
/// has advanced without the plan, repeating the write cannot succeed.
pub fn plan_outcome(
    plan: &PlanId,
    base: ConfigRevision,
    revision: ConfigRevision,
    head: &ConfigHead,
) -> PlanOutcome {
    if revision <= base {
        return PlanOutcome::Pending;
    }
    let written_at = |entry: &ChangeEntry| match entry.revision {
        ConfigRevision(0) => revision,
        earlier => earlier,
    };
    if let Some(entry) = head.recent.iter().find(|entry| entry.plan == *plan) {
        let written = written_at(entry);
        return PlanOutcome::Applied {
            revision: written,
            superseded_by: (written < revision).then_some(revision),
        };
    }
    let later = head.recent.iter().filter(|entry| written_at(entry) > base);
    let with_revision = |entry: &ChangeEntry| ChangeEntry {
        revision: written_at(entry),
        ..entry.clone()
    };
    PlanOutcome::Conflict {
        changes: later.map(with_revision).collect(),
    }
}

/// Result of [`commit_document`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The outcome of the plan is known.
    Resolved(PlanOutcome),
    /// Nothing was written: the store rejected the write or could not be reached.
    NotWritten(StoreError),
    /// The write may or may not have taken effect; the store did not answer within the time limit.
    /// The same plan can safely be committed again.
    Unknown(StoreError),
}

/// Writes `document` as the successor of `base` and adopts it on this daemon. `base` is `None` when
/// there is no configuration yet.
///
/// After an error that leaves the outcome open, the same compare-and-swap is repeated: it either
/// succeeds or conflicts with a head that shows whether the first attempt took effect.
pub async fn commit_document(
    context: &Arc<KernelContext>,
    base: Option<&ConfigBundle>,
    document: &ConfigDocument,
    entry: ChangeEntry,
) -> CommitOutcome {
    let base_revision = base.map_or(ConfigRevision(0), |bundle| bundle.revision);
    let recent = base.map_or(&[][..], |bundle| &bundle.head.recent);
    let plan = entry.plan.clone();
    let recent = append_change(base_revision, recent, entry);
    let mut bundle = ConfigBundle::split(ConfigRevision(0), document, recent);
    let (value, batch) = prepare_writes(base, &bundle);
    let expected = match base_revision {
        ConfigRevision(0) => ExpectedRevision::Absent,
        ConfigRevision(revision) => ExpectedRevision::Exactly(revision),
    };
    let start = Instant::now();
    let mut first_error = None;
    loop {
        let swapped = context
            .store
            .compare_and_swap_batch(CONFIG_KEY, expected, &value, &batch)
            .await;
        let cause = match swapped {
            Ok(SwapOutcome::Swapped(revision)) => {
                bundle.revision = ConfigRevision(revision);
                offer_bundle(context, bundle);
                return CommitOutcome::Resolved(PlanOutcome::Applied {
                    revision: ConfigRevision(revision),
                    superseded_by: None,
                });
            }
            Ok(SwapOutcome::Conflict(present)) => {
                let outcome = outcome_from_record(&plan, base_revision, present.as_ref());
                adopt_resolved(context, &outcome, bundle);
                return CommitOutcome::Resolved(outcome);
            }
            Err(cause @ StoreError::NotExecuted(_)) if first_error.is_none() => {
                return CommitOutcome::NotWritten(cause);
            }
            Err(cause) => cause,
        };
        if start.elapsed() >= RESOLVE_TIMEOUT {
            return CommitOutcome::Unknown(first_error.unwrap_or(cause));
        }
        first_error.get_or_insert(cause);
        task::sleep(RESOLVE_RETRY_DELAY).await;
    }
}

/// Adopts the bundle of a write that took effect and has not been superseded.
fn adopt_resolved(context: &Arc<KernelContext>, outcome: &PlanOutcome, mut bundle: ConfigBundle) {
    if let PlanOutcome::Applied {
        revision,
        superseded_by: None,
    } = outcome
    {
        bundle.revision = *revision;
        offer_bundle(context, bundle);
    }
}

fn outcome_from_record(
    plan: &PlanId,
    base: ConfigRevision,
    present: Option<&StoreRecord>,
) -> PlanOutcome {
    let conflict = PlanOutcome::Conflict {
        changes: Vec::new(),
    };
    let Some(record) = present else {
        return conflict;
    };
    match read_head(&record.value) {
        Ok(head) => plan_outcome(plan, base, ConfigRevision(record.revision), &head),
        Err(_cause) => conflict,
    }
}

/// Returns the value of the configuration key and the section writes and deletes that go into the
/// same transaction.
fn prepare_writes(base: Option<&ConfigBundle>, bundle: &ConfigBundle) -> (Vec<u8>, StoreBatch) {
    let held = |digest| base.is_some_and(|base| base.sections.contains_key(digest));
    let added = bundle.sections.iter().filter(|(digest, _)| !held(digest));
    let mut puts: Vec<(String, Arc<[u8]>)> = added
        .map(|(digest, content)| (section_key(digest), Arc::clone(content)))
        .collect();
    puts.push((REVISION_KEY.to_owned(), Arc::from(&b""[..])));
    let base_digests = base.iter().flat_map(|base| base.sections.keys());
    let removed = base_digests.filter(|digest| !bundle.sections.contains_key(digest));
    let deletes = removed.map(section_key).collect();
    let value = serde_json::to_vec(&bundle.head).expect("heads serialize");
    (value, StoreBatch { puts, deletes })
}
