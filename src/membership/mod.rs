//! Which daemons and targets there are, and which daemons a team should use.

mod gossip;

mod actions;
mod leaving;
mod platform_list;
mod protocol;
mod row;
mod service;
mod settings;
mod subset;
mod table;
mod view;
mod wire;

pub use actions::{CallNumber, MemberCall, ProtocolCounts, ProtocolTiming, RequestStep};
pub use leaving::{LeavingMarks, LeavingTarget};
pub use protocol::MemberProtocol;
pub use row::{IncarnationNumber, MemberRow, MemberState};
pub use service::MemberService;
pub use settings::{MEMBER_TABLE, MemberSettings};
pub use subset::{AddressPlan, TeamShare, share_by_weight};
pub use table::MemberChange;
pub use view::{MemberView, MemberViewCell};
pub use wire::{MarkRecord, MemberMessage, MemberRecord, MessageKind};
