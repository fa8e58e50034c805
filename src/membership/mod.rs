//! Fleet membership: the daemons and their states, leaving targets, and the daemons assigned to
//! each team.

mod actions;
mod gossip;
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
