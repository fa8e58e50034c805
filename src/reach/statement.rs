//! What a daemon tells the others about its path to the targets.

use prost::Message;

/// Whether a daemon has a path to the targets.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct ReachStatement {
    /// Rises with each change in one run of the daemon; datagrams may arrive out of order.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// True while the daemon reaches no target.
    #[prost(bool, tag = "2")]
    pub is_lost: bool,
}
