use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

use super::{CustomerName, KindName};

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $repr:ty) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name($repr);

        impl $name {
            /// Creates a value from its number.
            #[must_use]
            pub const fn new(value: $repr) -> Self {
                Self(value)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> $repr {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

number_type! {
    /// Identifies a customer in messages between processes; a hash of the customer's name.
    CustomerId, u32
}
number_type! {
    /// Identifies a kind in messages between processes; a hash of the kind's name.
    KindId, u32
}
number_type! {
    /// Identifies a connection of this process to another; a process never reuses an id.
    LinkId, u64
}
number_type! {
    /// Identifies a grant of a sidecar; an incarnation never reuses an id.
    GrantId, u64
}
number_type! {
    /// Identifies a caller's request at a router; an incarnation never reuses an id.
    RequestId, u64
}
number_type! {
    /// Identifies one run of a process; later runs on the same host have greater numbers.
    Incarnation, u64
}
number_type! {
    /// Revision of a published document; a greater number is newer.
    Revision, u64
}
number_type! {
    /// Era of the platform's store, within which revisions only rise; another era begins when the store
    /// comes back from an older copy.
    StoreEra, u64
}
number_type! {
    /// Fencing token of a sidecar, sent with each call so that the endpoint can refuse calls from an
    /// earlier sidecar.
    FenceNumber, u64
}

impl CustomerId {
    /// Returns the id of the customer named `name`.
    #[must_use]
    pub fn of(name: &CustomerName) -> Self {
        Self(short_hash(name.as_str()))
    }
}

impl KindId {
    /// Returns the id of the kind named `name`.
    #[must_use]
    pub fn of(name: &KindName) -> Self {
        Self(short_hash(name.as_str()))
    }
}

/// Low bits of an incarnation that are random; the bits above hold the start in milliseconds.
const INCARNATION_RANDOM_BITS: u32 = 16;

impl Incarnation {
    /// Combines the start time of a process, in milliseconds since 1970, with random low bits.
    #[must_use]
    pub const fn from_start(unix_millis: u64, random: u16) -> Self {
        Self((unix_millis << INCARNATION_RANDOM_BITS) | random as u64)
    }

    /// Returns the start time of the process, in milliseconds since 1970.
    #[must_use]
    pub const fn start_millis(self) -> u64 {
        self.0 >> INCARNATION_RANDOM_BITS
    }
}

fn short_hash(text: &str) -> u32 {
    let bytes = xxh3_64(text.as_bytes()).to_le_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
