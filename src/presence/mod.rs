//! Presence of daemons: each attaches a key to its lease in the store, and all daemons follow these
//! keys.

mod session;
mod table;

pub use session::{LeaseSession, LeaseStep, PRESENCE_PREFIX, leader_key, presence_key};
pub use table::{PresenceRow, PresenceTable, RelayAccess};
