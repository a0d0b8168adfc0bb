use std::fmt::Display;
use std::str::FromStr;

use serde::{Deserialize, Deserializer};

/// Deserializes a field from a string with the type's `FromStr` implementation.
pub(super) fn parse<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: FromStr<Err: Display>,
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(serde::de::Error::custom)
}
