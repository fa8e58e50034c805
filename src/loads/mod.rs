//! Daemons tell each other what their requests have reserved at targets, so that each chooses by the
//! load of all. The store would be too slow and too dear for figures that change with every request.

mod digest;
mod exchange;
mod table;

pub use digest::{ReservationDigest, ReservationRow, target_hash};
pub use exchange::exchange_loads;
pub use table::LoadTable;
