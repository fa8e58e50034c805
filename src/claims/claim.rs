//! One claim: a compare-and-swap that creates the key's record.

use crate::http::{ProblemAnswer, ProblemKind};
use crate::ids::{InstanceId, ServiceId, TeamId};
use crate::kernel::KernelContext;
use crate::store::{ExpectedRevision, StoreError, StoreRecord, SwapOutcome};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::time::Duration;

/// When to come back while the store is out of reach.
const STORE_DELAY: Duration = Duration::from_secs(2);

/// A call whose key is to be claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Team that calls.
    pub team: TeamId,
    /// Service called.
    pub service: ServiceId,
    /// Idempotency key, unique for each team and service.
    pub key: Arc<str>,
    /// Digest of the call.
    pub fingerprint: String,
}

/// Value of a claim's key in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Random number of the claim; tells one's own claim from others.
    pub nonce: u64,
    /// Daemon that claimed.
    pub owner: InstanceId,
    /// Digest of the call.
    pub fingerprint: String,
}

/// A claim held by this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimTicket {
    store_key: String,
    revision: u64,
}

/// Outcome of claiming a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This daemon may dispatch the call, once.
    Claimed(ClaimTicket),
    /// The call must not be dispatched.
    Refused(ProblemAnswer),
}

/// Claims the key of a call.
pub async fn claim_key(context: &KernelContext, claim: &ClaimRequest) -> ClaimOutcome {
    let record = ClaimRecord {
        nonce: fastrand::u64(..),
        owner: context.settings.instance.clone(),
        fingerprint: claim.fingerprint.clone(),
    };
    let value = serde_json::to_vec(&record).expect("claim records serialize");
    let store_key = store_key(claim);
    let swapped = context
        .store
        .swap(&store_key, ExpectedRevision::Absent, &value, None)
        .await;
    match swapped {
        Ok(SwapOutcome::Swapped(revision)) => ClaimOutcome::Claimed(ClaimTicket {
            store_key,
            revision,
        }),
        Ok(SwapOutcome::Conflict(present)) => ClaimOutcome::Refused(explain(&record, present)),
        Err(StoreError::NoEffect(cause)) => ClaimOutcome::Refused(not_claimed(cause)),
        Err(StoreError::UnknownEffect(_)) => read_back(context, &record, store_key).await,
    }
}

/// Gives up a claim whose call was not dispatched and never will be.
pub async fn settle_claim(context: &KernelContext, ticket: ClaimTicket) {
    let expected = ExpectedRevision::Exactly(ticket.revision);
    if let Err(cause) = context.store.delete(&ticket.store_key, expected).await {
        log::debug!("claim {} stays until it expires: {cause}", ticket.store_key);
    }
}

/// Key of a claim in the store. Its parts are hashed, since they may be long or hold slashes.
fn store_key(claim: &ClaimRequest) -> String {
    let mut hash = Sha256::new();
    for part in [claim.team.as_str(), claim.service.as_str(), &claim.key] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let digest = hash.finalize();
    let hex = digest
        .iter()
        .fold(String::new(), |text, byte| text + &format!("{byte:02x}"));
    format!("arbutusmount/claim/{hex}")
}

/// Settles a claim whose reply was lost by reading whose record the key holds.
async fn read_back(
    context: &KernelContext,
    record: &ClaimRecord,
    store_key: String,
) -> ClaimOutcome {
    match context.store.get(&store_key).await {
        Ok(Some(present)) => {
            let is_own = serde_json::from_slice::<ClaimRecord>(&present.value)
                .is_ok_and(|found| found.nonce == record.nonce);
            if is_own {
                return ClaimOutcome::Claimed(ClaimTicket {
                    store_key,
                    revision: present.revision,
                });
            }
            ClaimOutcome::Refused(explain(record, Some(present)))
        }
        // Even if the lost write takes effect later, this daemon does not dispatch the call.
        Ok(None) | Err(_) => ClaimOutcome::Refused(not_claimed("the store did not answer".into())),
    }
}

fn not_claimed(cause: String) -> ProblemAnswer {
    ProblemAnswer::not_run(ProblemKind::NotReady, cause).retry_after(STORE_DELAY)
}

/// Why a key that is taken refuses this call.
fn explain(record: &ClaimRecord, present: Option<StoreRecord>) -> ProblemAnswer {
    let found = present.and_then(|r| serde_json::from_slice::<ClaimRecord>(&r.value).ok());
    match found {
        Some(found) if found.fingerprint != record.fingerprint => {
            let detail = "the idempotency key was used for a different call";
            ProblemAnswer::not_run(ProblemKind::Conflict, detail)
        }
        _ => {
            let detail = "a call with this idempotency key was dispatched before";
            ProblemAnswer::unknown(ProblemKind::Conflict, detail)
        }
    }
}
