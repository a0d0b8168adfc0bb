//! Collections backed by sorted vectors.

mod sorted_map;

pub use sorted_map::SortedMap;
