//! The fleet configuration: what operators declare, where it is placed and how it is adopted.

mod accepted;
mod adoption;
mod backoff;
mod cell;
mod commit;
mod declaration;
mod digest;
mod document;
mod duty;
mod gossip;
mod messages;
mod metrics;
mod placement;
mod plan;
mod rollout;
mod sections;
mod state;

pub use accepted::{AcceptedConfig, ModelEntry};
pub use adoption::{CONFIG_KEY, MARK_KEY, fetch_bundle, offer_bundle, own_rank, read_store};
pub use backoff::{BackoffLimits, RetryBackoff};
pub use cell::{AdoptOutcome, ConfigCell};
pub use commit::{CommitOutcome, PlanVerdict, commit_document, judge_plan};
pub use declaration::{FleetDeclaration, ModelSpec, RolloutSpec, ServiceSpec, TeamSpec};
pub use digest::{TokenDigest, digest_token};
pub use document::{ChangeEntry, ConfigDocument, ServingVersion, StagePlacement, extend_recent};
pub use duty::{RankedRouter, StoreDuty, WATCHERS, rank_routers, store_duty};
pub use gossip::PUSH_PEERS;
pub use messages::{ConfigNotice, ConfigPull, ConfigReply, ConfigRequest};
pub use placement::{
    EngineOffer, PlacementError, PlacementPlan, count_copies, fit_models, place_models,
};
pub use plan::{
    CapacityChange, FleetPlan, PlanChange, PlanCost, PlanInputs, check_plan, compare_documents,
    make_plan,
};
pub use rollout::advance_document;
pub use sections::{BundleError, ConfigBundle, ConfigHead, SectionDigest, SectionMap, read_head};
pub use state::{AdoptionState, NoticeStep, OfferOutcome, StoreStep, exchange_period};
