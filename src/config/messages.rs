//! Messages exchanged between daemons to distribute the configuration.

use prost::Message;

/// Revision in force on the sending daemon.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct ConfigNotice {
    /// Revision in force, 0 for none.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Time since any daemon last read the store and found this revision to be the newest, in
    /// milliseconds; absent when no such read is known.
    #[prost(uint64, optional, tag = "2")]
    pub store_age_ms: Option<u64>,
}

/// Request for the receiver's configuration.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct ConfigPull {
    /// Digests of the sections that the sender holds and that need not be sent.
    #[prost(bytes = "vec", repeated, tag = "1")]
    pub held: Vec<Vec<u8>>,
}

/// Request to another daemon: a notice, and optionally a pull.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct ConfigRequest {
    /// State of the sender.
    #[prost(message, optional, tag = "1")]
    pub notice: Option<ConfigNotice>,
    /// Present when the sender requests the receiver's configuration.
    #[prost(message, optional, tag = "2")]
    pub pull: Option<ConfigPull>,
    /// Name of the sending daemon.
    #[prost(string, tag = "3")]
    pub sender: String,
}

/// Reply to a [`ConfigRequest`].
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct ConfigReply {
    /// State of the replying daemon.
    #[prost(message, optional, tag = "1")]
    pub notice: Option<ConfigNotice>,
    /// Head at the revision of `notice`, in JSON; empty when it was not requested or when there is
    /// no configuration.
    #[prost(bytes = "vec", tag = "2")]
    pub head: Vec<u8>,
    /// Sections of the head that the requester does not hold.
    #[prost(bytes = "vec", repeated, tag = "3")]
    pub sections: Vec<Vec<u8>>,
}
