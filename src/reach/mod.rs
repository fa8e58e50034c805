//! Whether this daemon and the others still have a path to the targets.
//!
//! A connect that fails may mean that its target has ended or that this daemon has lost its links. The
//! tracker tells the two apart by a few connects to other targets; the daemons tell each other of the
//! outcome with their load digests.

mod cell;
mod peers;
mod statement;
mod tracker;

pub use cell::ReachCell;
pub use peers::PeerReach;
pub use statement::ReachStatement;
pub use tracker::{PathLoss, ReachCandidate, ReachChange, ReachStep, ReachTracker};
