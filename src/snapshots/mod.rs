//! Daemons that start while the store does not answer ask others for their copy of its keys.
//!
//! A copy is what the daemon asked knows, never more than a running daemon cut off from the store
//! would go by; the store's own answer replaces it.

mod message;
mod recent;
mod request;
mod serve;

pub use recent::RecentPeers;
pub use request::fetch_snapshot;
pub use serve::serve_snapshots;
