//! Which daemons live: each keeps a key with a lease in the store, and all follow those keys.

mod board;
mod keeper;

pub use board::{PresenceBoard, PresenceRow};
pub use keeper::{PRESENCE_PREFIX, PresenceKeeper, leader_key, presence_key};
