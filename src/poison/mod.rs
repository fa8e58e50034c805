//! Requests that crash the targets that run them: how they are recognized, the crashes recorded for
//! them and for the parts of their prompts, and when they are refused.

mod fingerprint;
mod harmless;
mod outbox;
mod part;
mod row;
mod table;
mod verdict;

pub use fingerprint::PoisonFingerprint;
pub use harmless::HarmlessParts;
pub use outbox::{CrashOutbox, OutboxRow};
pub use part::PartId;
pub use row::PoisonRow;
pub use table::{CrashState, CrashedRun, PoisonEntry, PoisonLimits, PoisonTable};
pub use verdict::PoisonVerdict;
