//! Claims on idempotency keys: a call that may not be repeated is dispatched only after its key
//! was claimed in the store, so that it runs at most once.

mod claim;

pub use claim::{ClaimOutcome, ClaimRecord, ClaimRequest, ClaimTicket, claim_key, settle_claim};
