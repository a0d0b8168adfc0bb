use std::str::FromStr;
use std::time::Duration;

use bytesize::ByteSize;

use super::Finding;
use super::raw::{RawField, RawItem, RawValue};

/// Longest duration that a field accepts.
const MAX_DURATION: Duration = Duration::from_secs(24 * 60 * 60);

/// Reads the fields of one table as typed values and collects findings.
pub(super) struct ItemReader<'a> {
    item: &'a RawItem,
    path: String,
    /// Keys that were read; any other key of the table is unknown.
    known_keys: Vec<&'static str>,
    findings: &'a mut Vec<Finding>,
}

impl<'a> ItemReader<'a> {
    pub(super) fn new(item: &'a RawItem, section: &str, findings: &'a mut Vec<Finding>) -> Self {
        let path = match item.name() {
            Some(name) => format!("{section}.{name}"),
            None => section.to_owned(),
        };
        Self {
            item,
            path,
            known_keys: Vec::new(),
            findings,
        }
    }

    /// Reads a required string and parses it.
    pub(super) fn parsed<T: FromStr<Err: ToString>>(&mut self, key: &'static str) -> Option<T> {
        let text = self.text(key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let problem: T::Err = error;
                self.add_finding(key, problem.to_string());
                None
            }
        }
    }

    /// Reads a required string.
    pub(super) fn text(&mut self, key: &'static str) -> Option<String> {
        match self.required(key)?.value.clone() {
            RawValue::Text(text) => Some(text),
            _ => self.reject(key, "must be a string"),
        }
    }

    /// Reads a required boolean.
    pub(super) fn boolean(&mut self, key: &'static str) -> Option<bool> {
        match self.required(key)?.value {
            RawValue::Boolean(value) => Some(value),
            _ => self.reject(key, "must be true or false"),
        }
    }

    /// Reads a required positive integer.
    pub(super) fn positive(&mut self, key: &'static str) -> Option<u32> {
        self.required(key)?;
        self.positive_or(key, 0)
    }

    /// Reads an optional positive integer.
    pub(super) fn positive_or(&mut self, key: &'static str, default: u32) -> Option<u32> {
        let Some(value) = self.optional(key) else {
            return Some(default);
        };
        match value.value {
            RawValue::Integer(0) => self.reject(key, "must be 1 or more"),
            RawValue::Integer(number) => match u32::try_from(number) {
                Ok(number) => Some(number),
                Err(_) => self.reject(key, "must be a number from 1 to 4294967295"),
            },
            _ => self.reject(key, "must be a whole number"),
        }
    }

    /// Reads an optional duration with a unit, from above zero to [`MAX_DURATION`].
    pub(super) fn duration_or(&mut self, key: &'static str, default: Duration) -> Option<Duration> {
        let Some(field) = self.optional(key) else {
            return Some(default);
        };
        let RawValue::Text(text) = field.value.clone() else {
            return self.reject(key, "must be a string with a unit, such as \"30s\"");
        };
        match humantime::parse_duration(&text) {
            Ok(span) if span > MAX_DURATION => self.reject(key, "must not exceed 24h"),
            Ok(span) if !span.is_zero() => Some(span),
            Ok(_) => self.reject(key, "must be longer than zero"),
            Err(_) => self.reject(
                key,
                format!("`{text}` is not a time with a unit, such as \"30s\""),
            ),
        }
    }

    /// Reads an optional size with a unit and returns it in bytes.
    pub(super) fn size_or(&mut self, key: &'static str, default: u64) -> Option<u64> {
        let Some(field) = self.optional(key) else {
            return Some(default);
        };
        let RawValue::Text(text) = field.value.clone() else {
            return self.reject(key, "must be a string with a unit, such as \"1MiB\"");
        };
        match text.parse::<ByteSize>() {
            Ok(size) if size.as_u64() > 0 => Some(size.as_u64()),
            _ => self.reject(
                key,
                format!("`{text}` is not a size with a unit, such as \"1MiB\""),
            ),
        }
    }

    /// Reads an optional string and parses it.
    pub(super) fn parsed_or<T: FromStr<Err: ToString>>(
        &mut self,
        key: &'static str,
        default: T,
    ) -> Option<T> {
        match self.optional(key) {
            Some(_) => self.parsed(key),
            None => Some(default),
        }
    }

    /// Adds a finding at the place of `key`, or of the table if the key is missing.
    pub(super) fn add_finding(&mut self, key: &str, problem: impl Into<String>) {
        let place = self
            .item
            .get(key)
            .map_or(&self.item.place, |field| &field.place);
        let path = format!("{}.{key}", self.path);
        self.findings.push(Finding::new(place, path, problem));
    }

    /// Adds a finding for each key that was not read.
    pub(super) fn finish(self) {
        for field in &self.item.fields {
            if !self.known_keys.contains(&field.key.as_str()) {
                let path = format!("{}.{}", self.path, field.key);
                self.findings
                    .push(Finding::new(&field.place, path, "unknown key"));
            }
        }
    }

    fn optional(&mut self, key: &'static str) -> Option<&'a RawField> {
        self.known_keys.push(key);
        self.item.get(key)
    }

    fn required(&mut self, key: &'static str) -> Option<&'a RawField> {
        let field = self.optional(key);
        if field.is_none() {
            self.add_finding(key, "is missing");
        }
        field
    }

    fn reject<T>(&mut self, key: &str, problem: impl Into<String>) -> Option<T> {
        self.add_finding(key, problem);
        None
    }
}
