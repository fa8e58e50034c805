//! Client of the platform's key-value store, through its etcd v3 JSON gateway.

mod client;
mod watch;
mod wire;

pub use client::{ExpectedRevision, StoreBatch, StoreClient, StoreError, StoreRecord, SwapOutcome};
pub use watch::{StoreEvent, StoreWatch};
pub use wire::{
    CompareClause, EventKind, JsonInt64, KeyValue, LeaseGrantReply, LeaseGrantRequest,
    LeaseKeepAliveReply, LeaseRequest, RangeReply, RangeRequest, ReplyHeader, TxnOperation,
    TxnOperationReply, TxnReply, TxnRequest, WatchCreate, WatchFrame, WatchReply, WatchRequest,
    WireEvent, decode_bytes, encode_bytes,
};
