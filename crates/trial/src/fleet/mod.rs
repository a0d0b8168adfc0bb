//! Starts and stops the processes of an experiment, which communicate over loopback addresses.

mod builder;
mod child;
mod client;
mod running;

pub use builder::{FleetBuilder, ServicePlan};
pub use child::ChildGuard;
pub use client::{get_json, put_text};
pub use running::{EndpointHandle, RouterHandle, RunningFleet, SidecarHandle};
