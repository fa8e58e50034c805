//! Messages about lent retries, carried by load digests.

use prost::Message;

/// Asks another daemon to lend retries.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct RetryAsk {
    /// Repeated in the reply.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Service whose targets are to be asked again.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Retries that the asking daemon can use.
    #[prost(uint32, tag = "3")]
    pub wanted: u32,
}

/// Reply to a [`RetryAsk`].
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct RetryLoan {
    /// Number of the question.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Retries that were lent; 0 when the daemon needs its own.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}
