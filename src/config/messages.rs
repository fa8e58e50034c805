//! Messages about the configuration between daemons.

use prost::Message;

/// What a daemon says about its configuration.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct ConfigNotice {
    /// Revision in force, 0 for none.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Age of the newest read of the store that found this revision to be the newest, by any
    /// daemon, in milliseconds.
    #[prost(uint64, optional, tag = "2")]
    pub store_age_ms: Option<u64>,
}

/// Asks for the configuration in force.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct ConfigPull {
    /// Digests of the sections that need not be sent.
    #[prost(bytes = "vec", repeated, tag = "1")]
    pub held: Vec<Vec<u8>>,
}

/// Request to another daemon.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct ConfigRequest {
    /// The sender's own state.
    #[prost(message, optional, tag = "1")]
    pub notice: Option<ConfigNotice>,
    /// Present when the configuration is asked for.
    #[prost(message, optional, tag = "2")]
    pub pull: Option<ConfigPull>,
    /// Name of the sending daemon.
    #[prost(string, tag = "3")]
    pub sender: String,
}

/// Reply to a request.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct ConfigReply {
    /// The answering daemon's own state.
    #[prost(message, optional, tag = "1")]
    pub notice: Option<ConfigNotice>,
    /// Head at the notice's revision, JSON; empty when not asked for or when there is none.
    #[prost(bytes = "vec", tag = "2")]
    pub head: Vec<u8>,
    /// Sections that were not held.
    #[prost(bytes = "vec", repeated, tag = "3")]
    pub sections: Vec<Vec<u8>>,
}
