//! Fleet configuration: the operators' declaration, the placement of models on engines, and the
//! distribution of each revision to all daemons.

mod accepted;
mod adoption;
mod backoff;
mod cell;
mod commit;
mod declaration;
mod digest;
mod document;
mod gossip;
mod messages;
mod metrics;
mod placement;
mod plan;
mod rollout;
mod sections;
mod state;
mod store_duty;

pub use accepted::{AcceptedConfig, ModelEntry};
pub use adoption::{
    CONFIG_KEY, REVISION_KEY, fetch_bundle, local_rank, offer_bundle, refresh_from_store,
};
pub use backoff::{BackoffLimits, RetryBackoff};
pub use cell::{AdoptOutcome, ConfigCell};
pub use commit::{CommitOutcome, PlanOutcome, commit_document, plan_outcome};
pub use declaration::{FleetDeclaration, ModelSpec, RolloutSpec, ServiceSpec, TeamSpec};
pub use digest::{TokenDigest, digest_token};
pub use document::{ChangeEntry, ConfigDocument, ServingVersion, StagePlacement, append_change};
pub use gossip::PUSH_FANOUT;
pub use messages::{ConfigNotice, ConfigPull, ConfigReply, ConfigRequest};
pub use placement::{
    EngineCapacity, PlacementError, PlacementPlan, count_replicas, place_best_effort, place_models,
};
pub use plan::{
    CapacityChange, FleetPlan, PlanChange, PlanCost, PlanInputs, check_plan, diff_documents,
    make_plan,
};
pub use rollout::advance_rollout;
pub use sections::{BundleError, ConfigBundle, ConfigHead, SectionDigest, SectionMap, read_head};
pub use state::{AdoptionState, NoticeStep, OfferOutcome, StoreStep, exchange_period};
pub use store_duty::{RouterCandidate, STORE_WATCHERS, StoreDuty, rank_routers, store_duty};
