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
            /// Wraps the number.
            #[must_use]
            pub const fn new(value: $repr) -> Self {
                Self(value)
            }

            /// The number itself.
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
    /// A customer in messages between processes: a hash of its name.
    CustomerId, u32
}
number_type! {
    /// A kind of work in messages between processes: a hash of its name.
    KindId, u32
}
number_type! {
    /// One connection of this process to another; never used twice by a process.
    LinkId, u64
}
number_type! {
    /// One grant of a sidecar; never used twice by an incarnation.
    GrantId, u64
}
number_type! {
    /// One caller's request at a router; never used twice by an incarnation.
    RequestId, u64
}
number_type! {
    /// One run of a process; later runs of the same host have greater numbers.
    Incarnation, u64
}
number_type! {
    /// Number of a published document; greater is newer.
    Revision, u64
}
number_type! {
    /// Number sent to endpoints that refuse calls from an earlier sidecar.
    FenceNumber, u64
}

impl CustomerId {
    /// The id of the customer called `name`.
    #[must_use]
    pub fn of(name: &CustomerName) -> Self {
        Self(short_hash(name.as_str()))
    }
}

impl KindId {
    /// The id of the kind called `name`.
    #[must_use]
    pub fn of(name: &KindName) -> Self {
        Self(short_hash(name.as_str()))
    }
}

/// Milliseconds are shifted by this many bits to leave room for a random part.
const INCARNATION_RANDOM_BITS: u32 = 16;

impl Incarnation {
    /// Combines the start of a process, in milliseconds since 1970, with a random part.
    #[must_use]
    pub const fn from_start(unix_millis: u64, random: u16) -> Self {
        Self((unix_millis << INCARNATION_RANDOM_BITS) | random as u64)
    }

    /// Start of the process, in milliseconds since 1970.
    #[must_use]
    pub const fn start_millis(self) -> u64 {
        self.0 >> INCARNATION_RANDOM_BITS
    }
}

fn short_hash(text: &str) -> u32 {
    let bytes = xxh3_64(text.as_bytes()).to_le_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
