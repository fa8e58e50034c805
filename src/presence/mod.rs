//! Which daemons live: each keeps a key with a lease in the store, and all follow those keys.

mod session;
mod table;

pub use session::{LeaseSession, PRESENCE_PREFIX, leader_key, presence_key};
pub use table::{PresenceRow, PresenceTable};
