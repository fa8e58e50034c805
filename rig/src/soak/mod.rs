//! Fault soak: real daemons as processes of their own, before stand-ins of the users' platform, under
//! seeded faults that overlap, with checks of the promised behaviour from what callers and servers see.

mod caller;
mod configuration;
mod connection;
mod daemon;
mod evidence;
mod fault;
mod front;
mod message;
mod play;
mod report;
mod rules;
mod run;
mod shared;
mod spec;
mod strike;

pub use evidence::{
    ConfigState, ExchangeEnd, FaultSpan, FaultSubject, NamedLimit, OwnEnd, RequestRule,
    ServerDeparture, ServerRun, SoakEvidence, SoakExchange,
};
pub use fault::{FAULT_TABLE, FaultPair, FaultScope, SoakFault, pairs_of_seed};
pub use message::{HttpMessage, UnframedBody};
pub use report::SoakReport;
pub use rules::{RuleName, RuleViolation, check_rules};
pub use run::{find_daemon_program, run_soak};
pub use spec::{RuleBounds, SoakSpec};
