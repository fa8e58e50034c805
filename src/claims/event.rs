//! What happens to the claim protocol of a daemon, and what it wants done.

use crate::claims::attempts::{AttemptState, CachedResponse};
use crate::claims::key::{ClaimAttempt, ClaimRequest, PageSlot};
use crate::claims::page::{ClaimVerdict, PageChange};
use crate::claims::refusal::ClaimRefusal;
use crate::ids::InstanceId;
use crate::store::{ExpectedRevision, StoreError, StoreRecord, SwapOutcome};
use std::sync::Arc;

/// What happens to the node.
#[derive(Debug, Clone)]
pub enum ClaimEvent {
    /// A caller wants to run a call.
    Call {
        /// Claim that it needs.
        claim: ClaimRequest,
        /// New attempt.
        attempt: ClaimAttempt,
    },
    /// A dispatched attempt has ended.
    Ended {
        /// Claim made.
        claim: ClaimRequest,
        /// Attempt.
        attempt: ClaimAttempt,
        /// How it ended.
        end: AttemptState,
    },
    /// The home answered [`ClaimAction::ForwardToHome`], or did not.
    HomeAnswered {
        /// Operation.
        operation: u64,
        /// Verdict; `None` when there was no answer.
        verdict: Option<ClaimVerdict>,
    },
    /// The owner answered [`ClaimAction::QueryOwner`], or did not.
    OwnerAnswered {
        /// Operation.
        operation: u64,
        /// State of the attempt asked for; `None` when there was no answer.
        state: Option<AttemptState>,
    },
    /// Another daemon wants a change written.
    PeerChange {
        /// Number to answer under.
        request_id: u64,
        /// Change.
        change: PageChange,
    },
    /// The store answered [`ClaimAction::ReadPage`].
    PageRead {
        /// Shard whose writer asked.
        shard: usize,
        /// Page, if there is one.
        outcome: Result<Option<StoreRecord>, StoreError>,
    },
    /// The store answered [`ClaimAction::SwapPage`].
    PageSwapped {
        /// Shard whose writer asked.
        shard: usize,
        /// Outcome.
        outcome: Result<SwapOutcome, StoreError>,
    },
    /// Time has passed.
    Tick,
}

/// What the node wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Ask a daemon to write a change.
    ForwardToHome {
        /// Operation to answer under.
        operation: u64,
        /// Daemon.
        home: InstanceId,
        /// Change.
        change: PageChange,
    },
    /// Ask a daemon what became of an attempt of its own.
    QueryOwner {
        /// Operation to answer under.
        operation: u64,
        /// Daemon.
        owner: InstanceId,
        /// Attempt.
        asked: ClaimAttempt,
    },
    /// Answer a change of another daemon.
    AnswerPeer {
        /// Number of the change.
        request_id: u64,
        /// Verdict.
        verdict: ClaimVerdict,
    },
    /// Read a page.
    ReadPage {
        /// Shard.
        shard: usize,
        /// Page.
        slot: PageSlot,
    },
    /// Write a page by compare-and-swap.
    SwapPage {
        /// Shard.
        shard: usize,
        /// Page.
        slot: PageSlot,
        /// Revision expected.
        expected: ExpectedRevision,
        /// New value.
        value: Vec<u8>,
    },
    /// Tell the caller what to do.
    Decide {
        /// Attempt.
        attempt: ClaimAttempt,
        /// Decision.
        decision: ClaimDecision,
    },
}

/// What an attempt may do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Dispatch the call, once and soon.
    Dispatch,
    /// Give the caller the answer of the earlier attempt.
    Replay(Arc<CachedResponse>),
    /// Refuse the call.
    Refuse(ClaimRefusal),
}
