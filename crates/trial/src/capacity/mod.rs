//! What each role costs at the size to come, worked out from measured slopes.
//!
//! `trial slopes` measures what the core's parts cost; runs of `idle`, `paced` and `waiting` measure
//! what processes cost. Both are kept in `docs/slopes.json`, from which [`capacity_table`] works out
//! the table of `docs/CAPACITY.md`.

mod slopes;
mod table;

pub use slopes::{PartSlopes, print_slopes};
pub use table::{FleetSize, ProcessSlopes, Slopes, capacity_table, print_capacity};
