//! Routes, customers' tokens and endpoints, as given by one version of the configuration and one
//! snapshot of the endpoint list.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use cicadalock_core::serving::{RouteConfig, RouteKind, ServingConfig};
//!
//! let route = RouteConfig::builder("stock", "desk.example", "/stock/")
//!     .kind(RouteKind::Idempotent)
//!     .timeout(Duration::from_millis(800))
//!     .target("desk".parse().unwrap(), 1)
//!     .build()
//!     .unwrap();
//! let config = ServingConfig::builder(7).route(route).build().unwrap();
//! assert!(config.routes().find("desk.example", "/stock/12").is_some());
//! assert!(config.routes().find("desk.example", "/stocks/").is_none());
//! ```

mod endpoint_list;
mod freshness;
mod prompt;
mod route;
mod route_table;
mod serving_config;

pub use endpoint_list::{EndpointList, ListedEndpoint, ListingState};
pub use freshness::StoreFreshness;
pub use prompt::{PromptPart, PromptShape, ShapeError};
pub use route::{RouteBuilder, RouteConfig, RouteFinding, RouteKind, RouteTarget};
pub use route_table::RouteTable;
pub use serving_config::{CallerLimits, ConfigBuilder, ServiceTraits, ServingConfig};
