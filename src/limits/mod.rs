//! Rate limits that targets name in their responses, and how all daemons together keep to them.
//!
//! One daemon, the keeper of a target, hands out a permit for each request to it. The others ask the
//! keeper. A daemon that cannot reach the keeper sends the target nothing.

mod keeper;
mod known;
mod message;
mod rest;

pub use keeper::{KeeperTable, PermitGrant, choose_keeper};
pub use known::{LimitCell, LimitChange, LimitStatement, TakeOutcome};
pub use message::{LimitRow, PermitAsk, PermitReply};
