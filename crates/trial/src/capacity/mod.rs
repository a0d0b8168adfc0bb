//! Estimates what each role costs at the target size of the fleet, from measured slopes.
//!
//! `trial slopes` measures the cost of parts of the core; the scenarios `idle`, `paced` and
//! `waiting` measure the cost of processes. `docs/slopes.json` holds both; [`capacity_table`]
//! computes the table of `docs/CAPACITY.md` from it.

mod shared_knowledge;
mod slopes;
mod table;

pub use slopes::{PartSlopes, print_slopes};
pub use table::{FleetSize, ProcessSlopes, Slopes, capacity_table, print_capacity};
