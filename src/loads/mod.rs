//! Gossip of reservations: daemons announce to each other what their requests have reserved at
//! targets, so that each daemon chooses targets by the load from all of them. The store would be
//! too slow and too expensive for figures that change with every request. The same messages carry
//! crashes under requests until the store has them.

mod demand;
mod digest;
mod exchange;
mod fanout;
mod table;

pub use demand::{DemandCell, DemandTotals, PriorityDemandRow, demand_rows, service_hash};
pub use digest::{ReservationDigest, ReservationRow, target_hash};
pub use exchange::exchange_loads;
pub use fanout::{PeerGroups, PeerOrigin};
pub use table::LoadTable;
