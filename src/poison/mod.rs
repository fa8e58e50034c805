//! Requests that crash the targets that run them: how they are recognized, the crashes recorded for
//! them, and when they are refused.

mod fingerprint;
mod outbox;
mod row;
mod table;

pub use fingerprint::PoisonFingerprint;
pub use outbox::{CrashOutbox, OutboxRow};
pub use row::PoisonRow;
pub use table::{CrashState, CrashedRun, PoisonEntry, PoisonLimits, PoisonTable};
