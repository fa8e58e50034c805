//! Feeds: a few daemons of each failure domain read the store, and the others receive the changes from
//! them.
//!
//! Each daemon still reads the complete state of the store itself when it starts. From then on it needs
//! only the changes, and a daemon of its failure domain that watches the store hands them on. A message
//! tells how long ago its sender was last in contact with the store. Once that is too long ago, or the
//! messages stop, the daemon watches the store itself from the version that it knows.

mod contact;
mod follow;
mod inbox;
mod listen;
mod message;
mod packing;
mod readers;
mod rest;
mod serve;
mod subscribe;

pub use contact::StoreContactCell;
pub use follow::next_snapshot_delay;
pub(crate) use follow::{ChangeSource, FollowNotice, FollowSpec, SnapshotSource, follow_prefix};
pub use inbox::{FeedError, FeedInbox, FeedStep};
pub(crate) use listen::serve_copies;
pub use message::{FeedChange, FeedFrame, FeedPart, FeedParts};
pub use readers::{
    READERS_PER_DOMAIN, ReadingRole, count_readers, is_first_reader, reading_role, saving_role,
};
pub use rest::{LIST_REST, ListRest, PRESENCE_REST, RestSpec};
pub(crate) use serve::FeedSource;
pub(crate) use subscribe::{SubscriberPorts, subscribe_feeds};
