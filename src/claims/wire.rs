//! Messages of the claim protocol between daemons.

use crate::claims::attempts::{AttemptState, CachedResponse};
use crate::claims::key::{ClaimAttempt, ClaimRequest, KeyDigest};
use crate::claims::page::{ClaimRow, ClaimVerdict, PageChange};
use prost::Message;
use std::sync::Arc;

/// A request to another daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum PeerRequest {
    /// Write this change to its page.
    Change(PageChange),
    /// Report the state of this attempt, which the receiving daemon has made.
    AttemptState(ClaimAttempt),
}

/// Numbers on the wire for the kinds of requests, verdicts and attempt states.
mod kind {
    // Requests.
    pub(super) const CLAIM: u32 = 1;
    pub(super) const RELEASE: u32 = 2;
    pub(super) const ATTEMPT_STATE: u32 = 3;

    // Verdicts.
    pub(super) const GRANTED: u32 = 1;
    pub(super) const TAKEN: u32 = 2;
    pub(super) const RELEASED: u32 = 3;
    pub(super) const TOO_OLD: u32 = 4;
    pub(super) const PAGE_FULL: u32 = 5;
    pub(super) const OVERLOADED: u32 = 6;
    pub(super) const STORE_DOWN: u32 = 7;

    // Attempt states.
    pub(super) const WAITING: u32 = 1;
    pub(super) const RUNNING: u32 = 2;
    pub(super) const NOT_EXECUTED: u32 = 3;
    pub(super) const COMPLETED: u32 = 4;
    pub(super) const UNKNOWN: u32 = 5;
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct RequestBody {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(bytes = "vec", tag = "2")]
    digest: Vec<u8>,
    #[prost(uint64, optional, tag = "3")]
    window: Option<u64>,
    #[prost(fixed64, tag = "4")]
    fingerprint: u64,
    #[prost(fixed64, tag = "5")]
    attempt: u64,
    #[prost(string, tag = "6")]
    owner: String,
    #[prost(fixed64, optional, tag = "7")]
    supersedes: Option<u64>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct VerdictBody {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(fixed64, tag = "2")]
    fingerprint: u64,
    #[prost(fixed64, tag = "3")]
    attempt: u64,
    #[prost(string, tag = "4")]
    owner: String,
    #[prost(uint64, tag = "5")]
    claimed_s: u64,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct StateBody {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(message, optional, tag = "2")]
    response: Option<ResponseBody>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct ResponseBody {
    #[prost(uint32, tag = "1")]
    status: u32,
    #[prost(string, optional, tag = "2")]
    content_type: Option<String>,
    #[prost(bytes = "vec", tag = "3")]
    body: Vec<u8>,
}

/// Encodes a request.
pub(super) fn encode_request(request: &PeerRequest) -> Vec<u8> {
    let body = match request {
        PeerRequest::AttemptState(attempt) => RequestBody {
            kind: kind::ATTEMPT_STATE,
            attempt: attempt.0,
            ..RequestBody::default()
        },
        PeerRequest::Change(change) => encode_change(change),
    };
    body.encode_to_vec()
}

fn encode_change(change: &PageChange) -> RequestBody {
    let claim = change.claim();
    let body = RequestBody {
        digest: claim.digest.0.to_vec(),
        window: claim.window,
        fingerprint: claim.fingerprint,
        ..RequestBody::default()
    };
    match change {
        PageChange::Release { attempt, .. } => RequestBody {
            kind: kind::RELEASE,
            attempt: attempt.0,
            ..body
        },
        PageChange::Claim {
            attempt,
            owner,
            supersedes,
            ..
        } => RequestBody {
            kind: kind::CLAIM,
            attempt: attempt.0,
            owner: owner.to_string(),
            supersedes: supersedes.map(|attempt| attempt.0),
            ..body
        },
    }
}

/// Decodes a request; `None` when it is malformed.
pub(super) fn decode_request(bytes: &[u8]) -> Option<PeerRequest> {
    let body = RequestBody::decode(bytes).ok()?;
    let attempt = ClaimAttempt(body.attempt);
    if body.kind == kind::ATTEMPT_STATE {
        return Some(PeerRequest::AttemptState(attempt));
    }
    let claim = ClaimRequest {
        digest: KeyDigest(body.digest.try_into().ok()?),
        window: body.window,
        fingerprint: body.fingerprint,
    };
    let change = match body.kind {
        kind::RELEASE => PageChange::Release { claim, attempt },
        kind::CLAIM => PageChange::Claim {
            claim,
            attempt,
            owner: body.owner.parse().ok()?,
            supersedes: body.supersedes.map(ClaimAttempt),
        },
        _ => return None,
    };
    Some(PeerRequest::Change(change))
}

/// Encodes a verdict.
pub(super) fn encode_verdict(verdict: &ClaimVerdict) -> Vec<u8> {
    let without_row = |kind| VerdictBody {
        kind,
        ..VerdictBody::default()
    };
    let body = match verdict {
        ClaimVerdict::Granted => without_row(kind::GRANTED),
        ClaimVerdict::Released => without_row(kind::RELEASED),
        ClaimVerdict::TooOld => without_row(kind::TOO_OLD),
        ClaimVerdict::PageFull => without_row(kind::PAGE_FULL),
        ClaimVerdict::Overloaded => without_row(kind::OVERLOADED),
        ClaimVerdict::StoreDown => without_row(kind::STORE_DOWN),
        ClaimVerdict::Taken(row) => VerdictBody {
            kind: kind::TAKEN,
            fingerprint: row.fingerprint,
            attempt: row.attempt.0,
            owner: row.owner.to_string(),
            claimed_s: row.claimed_s,
        },
    };
    body.encode_to_vec()
}

/// Decodes a verdict; `None` when it is malformed.
pub(super) fn decode_verdict(bytes: &[u8]) -> Option<ClaimVerdict> {
    let body = VerdictBody::decode(bytes).ok()?;
    Some(match body.kind {
        kind::GRANTED => ClaimVerdict::Granted,
        kind::RELEASED => ClaimVerdict::Released,
        kind::TOO_OLD => ClaimVerdict::TooOld,
        kind::PAGE_FULL => ClaimVerdict::PageFull,
        kind::OVERLOADED => ClaimVerdict::Overloaded,
        kind::STORE_DOWN => ClaimVerdict::StoreDown,
        kind::TAKEN => ClaimVerdict::Taken(ClaimRow {
            fingerprint: body.fingerprint,
            attempt: ClaimAttempt(body.attempt),
            owner: body.owner.parse().ok()?,
            claimed_s: body.claimed_s,
        }),
        _ => return None,
    })
}

/// Encodes the state of an attempt.
pub(super) fn encode_state(state: &AttemptState) -> Vec<u8> {
    let (kind, response) = match state {
        AttemptState::Waiting => (kind::WAITING, None),
        AttemptState::Running => (kind::RUNNING, None),
        AttemptState::NotExecuted => (kind::NOT_EXECUTED, None),
        AttemptState::Unknown => (kind::UNKNOWN, None),
        AttemptState::Completed(response) => (kind::COMPLETED, response.as_ref()),
    };
    let response = response.map(|response| ResponseBody {
        status: u32::from(response.status),
        content_type: response.content_type.clone(),
        body: response.body.clone(),
    });
    StateBody { kind, response }.encode_to_vec()
}

/// Decodes the state of an attempt; `None` when it is malformed.
pub(super) fn decode_state(bytes: &[u8]) -> Option<AttemptState> {
    let body = StateBody::decode(bytes).ok()?;
    Some(match body.kind {
        kind::WAITING => AttemptState::Waiting,
        kind::RUNNING => AttemptState::Running,
        kind::NOT_EXECUTED => AttemptState::NotExecuted,
        kind::UNKNOWN => AttemptState::Unknown,
        kind::COMPLETED => AttemptState::Completed(match body.response {
            None => None,
            Some(response) => Some(Arc::new(CachedResponse {
                status: response.status.try_into().ok()?,
                content_type: response.content_type,
                body: response.body,
            })),
        }),
        _ => return None,
    })
}
