//! Inputs and outputs of the claim protocol's state machine,
//! [`ClaimNode`](crate::claims::ClaimNode).

use crate::claims::attempts::{AttemptState, CachedResponse};
use crate::claims::key::{ClaimAttempt, ClaimRequest, PageSlot};
use crate::claims::page::{ClaimVerdict, PageChange};
use crate::claims::refusal::ClaimRefusal;
use crate::ids::InstanceId;
use crate::store::{ExpectedRevision, StoreError, StoreRecord, SwapOutcome};
use std::sync::Arc;

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum ClaimEvent {
    /// A caller requests the dispatch of a call.
    Call {
        /// Requested claim.
        claim: ClaimRequest,
        /// New attempt to dispatch the call.
        attempt: ClaimAttempt,
    },
    /// A dispatched attempt has ended.
    Ended {
        /// Claim that the attempt held.
        claim: ClaimRequest,
        /// Attempt that has ended.
        attempt: ClaimAttempt,
        /// Final state of the attempt.
        end: AttemptState,
    },
    /// The home replied to [`ClaimAction::ForwardToHome`], or the request failed.
    HomeReplied {
        /// Number of the operation, from the action.
        operation: u64,
        /// Result of the change; `None` when the request failed.
        verdict: Option<ClaimVerdict>,
    },
    /// The owner replied to [`ClaimAction::QueryOwner`], or the request failed.
    OwnerReplied {
        /// Number of the operation, from the action.
        operation: u64,
        /// State of the queried attempt; `None` when the request failed.
        state: Option<AttemptState>,
    },
    /// Another daemon has forwarded a change.
    PeerChange {
        /// Identifier of the request, given back with the reply.
        request_id: u64,
        /// Change to write.
        change: PageChange,
    },
    /// The store replied to [`ClaimAction::ReadPage`].
    PageRead {
        /// Shard whose writer read the page.
        shard: usize,
        /// Record of the page; `None` when it does not exist.
        outcome: Result<Option<StoreRecord>, StoreError>,
    },
    /// The store replied to [`ClaimAction::SwapPage`].
    PageSwapped {
        /// Shard whose writer wrote the page.
        shard: usize,
        /// Outcome of the compare-and-swap.
        outcome: Result<SwapOutcome, StoreError>,
    },
    /// A timer may be due; see [`ClaimNode::next_wake`](crate::claims::ClaimNode::next_wake).
    Tick,
}

/// Output of the state machine: an action to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Forward a change to the home of its shard.
    ForwardToHome {
        /// Operation that waits for the reply.
        operation: u64,
        /// Home of the shard.
        home: InstanceId,
        /// Change to write.
        change: PageChange,
    },
    /// Query the state of an attempt from the daemon that made it.
    QueryOwner {
        /// Operation that waits for the reply.
        operation: u64,
        /// Daemon that made the attempt.
        owner: InstanceId,
        /// Attempt to report on.
        attempt: ClaimAttempt,
    },
    /// Reply to another daemon that has forwarded a change.
    ReplyToPeer {
        /// Identifier of the request.
        request_id: u64,
        /// Result of the change.
        verdict: ClaimVerdict,
    },
    /// Read a page from the store.
    ReadPage {
        /// Shard of the page.
        shard: usize,
        /// Page to read.
        slot: PageSlot,
    },
    /// Write a page by compare-and-swap.
    SwapPage {
        /// Shard of the page.
        shard: usize,
        /// Page to write.
        slot: PageSlot,
        /// Revision that the page must have.
        expected: ExpectedRevision,
        /// New value of the page.
        value: Vec<u8>,
    },
    /// Report the decision on an attempt to its caller.
    Decide {
        /// Attempt of the caller.
        attempt: ClaimAttempt,
        /// Decision on the attempt.
        decision: ClaimDecision,
    },
}

/// Decision on an attempt to dispatch a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The caller may dispatch the call, once, within the dispatch timeout.
    Dispatch,
    /// The caller gets the cached response of an earlier attempt.
    Replay(Arc<CachedResponse>),
    /// The call is refused.
    Refuse(ClaimRefusal),
}
