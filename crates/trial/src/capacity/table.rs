//! stub
use std::path::Path;
use serde::{Deserialize, Serialize};
use super::PartSlopes;
/// a
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FleetSize {}
/// b
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProcessSlopes {}
/// c
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Slopes { /// parts
pub parts: Vec<PartSlopes> }
/// d
#[must_use]
pub fn capacity_table(_slopes: &Slopes) -> String { String::new() }
/// e
///
/// # Errors
///
/// f
pub fn print_capacity(_path: &Path) -> std::io::Result<()> { Ok(()) }
