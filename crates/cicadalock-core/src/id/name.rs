use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use snafu::Snafu;

const MAX_NAME_BYTES: usize = 64;

/// Error for a text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is not a name: use 1 to 64 of a-z, A-Z, 0-9, `-`, `_` and `.`"))]
pub struct NameError {
    text: Arc<str>,
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Name of a customer, as in the configuration.
    CustomerName
}
name_type! {
    /// Name of a kind, a class of requests.
    KindName
}
name_type! {
    /// Name of a service: a group of endpoints that are replicas of each other.
    ServiceName
}
name_type! {
    /// Name of a host in the platform's host list.
    HostName
}
name_type! {
    /// Name of an availability zone.
    ZoneName
}
name_type! {
    /// Name of one incarnation of an endpoint; a restarted endpoint has another.
    EndpointId
}

fn check_name(text: &str) -> Result<(), NameError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(allowed) {
        return NameSnafu { text }.fail();
    }
    Ok(())
}
