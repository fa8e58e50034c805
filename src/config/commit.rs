//! Writes a new configuration by one compare-and-swap, and settles writes whose reply was lost.

use crate::config::adoption::{CONFIG_KEY, REVISION_KEY, offer_bundle, section_key};
use crate::config::sections::{ConfigBundle, read_head};
use crate::config::{ChangeEntry, ConfigDocument, ConfigHead, append_change};
use crate::ids::{ConfigRevision, PlanId};
use crate::kernel::KernelContext;
use crate::store::{ExpectedRevision, StoreBatch, StoreError, StoreRecord, SwapOutcome};
use async_std::task;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time spent on finding out whether a write took effect.
const SETTLE_LIMIT: Duration = Duration::from_secs(8);
/// Pause between attempts to find out.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// What became of a plan, judged by a head that is at least as new as the plan's base.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanOutcome {
    /// The plan has taken effect.
    Applied {
        /// Revision that it wrote.
        revision: ConfigRevision,
        /// Revision in force now, when a later change has superseded it.
        superseded_by: Option<ConfigRevision>,
    },
    /// Other changes came first; the plan has not taken effect and never will.
    Conflict {
        /// Changes since the plan's base that the head remembers, oldest first.
        changes: Vec<ChangeEntry>,
    },
    /// The head is still the plan's base.
    Pending,
}

/// Judges a plan made against `base` by the head at `revision`.
///
/// A plan is written by a compare-and-swap on its base, and revisions never repeat: once the head
/// has moved on without it, no repetition can bring it into effect.
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

/// How an attempt to write ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The plan's fate is known.
    Resolved(PlanOutcome),
    /// Nothing was written; the store refused or was out of reach.
    NotWritten(StoreError),
    /// The store did not say in time whether the write took effect. Repeating it is safe.
    Unknown(StoreError),
}

/// Writes `document` over `base` and adopts it here. `base` is `None` when there is no
/// configuration yet.
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
    let (value, batch) = make_writes(base, &bundle);
    let expected = match base_revision {
        ConfigRevision(0) => ExpectedRevision::Absent,
        ConfigRevision(revision) => ExpectedRevision::Exactly(revision),
    };
    let start = Instant::now();
    let mut unsettled = None;
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
                let verdict = judge_record(&plan, base_revision, present.as_ref());
                adopt_settled(context, &verdict, bundle);
                return CommitOutcome::Resolved(verdict);
            }
            Err(cause @ StoreError::NotExecuted(_)) if unsettled.is_none() => {
                return CommitOutcome::NotWritten(cause);
            }
            Err(cause) => cause,
        };
        if start.elapsed() >= SETTLE_LIMIT {
            return CommitOutcome::Unknown(unsettled.unwrap_or(cause));
        }
        unsettled.get_or_insert(cause);
        task::sleep(SETTLE_PAUSE).await;
    }
}

/// Adopts the bundle of a write that was found to be the newest one.
fn adopt_settled(context: &Arc<KernelContext>, verdict: &PlanOutcome, mut bundle: ConfigBundle) {
    if let PlanOutcome::Applied {
        revision,
        superseded_by: None,
    } = verdict
    {
        bundle.revision = *revision;
        offer_bundle(context, bundle);
    }
}

fn judge_record(plan: &PlanId, base: ConfigRevision, present: Option<&StoreRecord>) -> PlanOutcome {
    let lost = PlanOutcome::Conflict {
        changes: Vec::new(),
    };
    let Some(record) = present else {
        return lost;
    };
    match read_head(&record.value) {
        Ok(head) => plan_outcome(plan, base, ConfigRevision(record.revision), &head),
        Err(_cause) => lost,
    }
}

/// The value of the configuration key, and the sections to write and delete with it.
fn make_writes(base: Option<&ConfigBundle>, bundle: &ConfigBundle) -> (Vec<u8>, StoreBatch) {
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
