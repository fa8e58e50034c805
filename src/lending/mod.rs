//! Retries that daemons lend each other.
//!
//! Each daemon has a part of the retries that all together may spend. A fault that concentrates on the
//! callers of some daemons uses their parts up while the others need none, so a daemon without any left
//! asks others. A lent retry counts as spent at the lender, and longer than it can be used, so
//! the sum stays within the limit whatever is lost or repeated.

mod message;

pub use message::{RetryAsk, RetryLoan};
