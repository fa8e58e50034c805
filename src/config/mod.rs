//! The fleet configuration: what operators declare, where it is placed and how it is adopted.

mod accepted;
mod adoption;
mod cell;
mod declaration;
mod digest;
mod document;
mod placement;
mod plan;

pub use accepted::{AcceptedConfig, ModelEntry};
pub use adoption::{CONFIG_KEY, adopt_record};
pub use cell::{AdoptOutcome, ConfigCell};
pub use declaration::{FleetDeclaration, ModelSpec, ServiceSpec, TeamSpec};
pub use digest::{TokenDigest, digest_token};
pub use document::{ConfigDocument, StagePlacement};
pub use placement::{EngineOffer, PlacementError, place_models};
pub use plan::{FleetPlan, PlanChange, PlanCost, make_plan};
