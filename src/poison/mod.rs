//! Requests that crash the targets that run them: how they are recognized, and the crashes recorded
//! for them.

mod fingerprint;
mod table;

pub use fingerprint::PoisonFingerprint;
pub use table::{PoisonEntry, PoisonTable};
