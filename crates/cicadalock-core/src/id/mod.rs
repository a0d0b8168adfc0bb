//! Newtypes for names and numbers, so that different ones cannot be confused.
//!
//! ```
//! use cicadalock_core::id::{CustomerId, CustomerName};
//!
//! let name: CustomerName = "skole-aarhus".parse()?;
//! assert_eq!(CustomerId::of(&name), CustomerId::of(&name));
//! # Ok::<(), cicadalock_core::id::NameError>(())
//! ```

mod digest;
mod name;
mod number;
mod part;

pub use digest::RequestDigest;
pub use name::{CustomerName, EndpointId, HostName, KindName, NameError, ServiceName, ZoneName};
pub use number::{
    CustomerId, FenceNumber, GrantId, Incarnation, KindId, LinkId, RequestId, Revision, StoreEra,
};
pub use part::PartId;
