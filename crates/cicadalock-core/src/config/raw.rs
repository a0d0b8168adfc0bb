use std::sync::Arc;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::Finding;

/// A configuration text with the file name to use in findings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigText {
    pub(super) file: Arc<str>,
    pub(super) text: Arc<str>,
}

impl ConfigText {
    /// Creates a text whose findings name `file` as their source.
    #[must_use]
    pub fn new(file: &str, text: &str) -> Self {
        Self {
            file: Arc::from(file),
            text: Arc::from(text),
        }
    }
}

/// Location of a key in a file; lines start at 1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) file: Arc<str>,
    pub(super) line: usize,
}

/// The value of a field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RawValue {
    Text(String),
    Integer(i64),
    Boolean(bool),
    /// A value of an unsupported type or range, with a description such as the TOML type.
    Other(&'static str),
}

/// A key with its value and place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RawField {
    pub(super) key: String,
    pub(super) value: RawValue,
    pub(super) place: Place,
}

/// A table: an entry of a list, or the table of limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RawItem {
    pub(super) fields: Vec<RawField>,
    pub(super) place: Place,
}

impl RawItem {
    pub(super) fn get(&self, key: &str) -> Option<&RawField> {
        self.fields.iter().find(|field| field.key == key)
    }

    pub(super) fn name(&self) -> Option<&str> {
        match &self.get("name")?.value {
            RawValue::Text(text) => Some(text),
            _ => None,
        }
    }
}

/// Names of the lists of tables, in the order in which they are printed.
pub(super) const LISTS: [&str; 3] = ["services", "kinds", "customers"];

/// Name of the table of limits.
pub(super) const LIMITS: &str = "limits";

/// A parsed but unvalidated configuration; every key keeps its place.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct RawConfig {
    pub(super) limits: Option<RawItem>,
    /// Entries of each of [`LISTS`].
    pub(super) lists: [Vec<RawItem>; 3],
}

impl RawConfig {
    /// Parses a text, adding a finding for each syntax error, unknown key and value of a wrong type
    /// at the top level.
    pub(super) fn parse(source: &ConfigText, findings: &mut Vec<Finding>) -> Self {
        let reader = RawReader::new(source);
        let (root, errors) = DeTable::parse_recoverable(&source.text);
        for error in errors {
            let place = reader.place(error.span().map_or(0, |span| span.start));
            findings.push(Finding::new(
                &place,
                "syntax".into(),
                error.message().replace('\n', " "),
            ));
        }
        let mut config = Self::default();
        for (key, value) in root.get_ref() {
            reader.read_section(&mut config, key, value, findings);
        }
        config
    }
}

struct RawReader<'a> {
    source: &'a ConfigText,
    /// Byte offset at which each line starts.
    line_starts: Vec<usize>,
}

impl<'a> RawReader<'a> {
    fn new(source: &'a ConfigText) -> Self {
        let ends = source
            .text
            .bytes()
            .enumerate()
            .filter(|(_, byte)| *byte == b'\n');
        let starts = ends.map(|(offset, _)| offset + 1);
        Self {
            source,
            line_starts: std::iter::once(0).chain(starts).collect(),
        }
    }

    fn read_section(
        &self,
        config: &mut RawConfig,
        key: &Spanned<impl AsRef<str>>,
        value: &Spanned<DeValue<'_>>,
        findings: &mut Vec<Finding>,
    ) {
        let name = key.get_ref().as_ref();
        let place = self.place(key.span().start);
        if name == LIMITS {
            match value.get_ref().as_table() {
                Some(table) => config.limits = Some(self.read_item(table, place)),
                None => findings.push(Finding::new(&place, name.into(), "must be a table")),
            }
            return;
        }
        let Some(index) = LISTS.iter().position(|list| *list == name) else {
            findings.push(Finding::new(&place, name.into(), "unknown key"));
            return;
        };
        let Some(entries) = value.get_ref().as_array() else {
            findings.push(Finding::new(
                &place,
                name.into(),
                "must be an array of tables",
            ));
            return;
        };
        for entry in entries.iter() {
            let place = self.place(entry.span().start);
            match entry.get_ref().as_table() {
                Some(table) => config.lists[index].push(self.read_item(table, place)),
                None => findings.push(Finding::new(&place, name.into(), "must be a table")),
            }
        }
    }

    fn read_item(&self, table: &DeTable<'_>, place: Place) -> RawItem {
        let mut fields: Vec<RawField> = table
            .iter()
            .map(|(key, value)| RawField {
                key: key.get_ref().to_string(),
                value: raw_value(value.get_ref()),
                place: self.place(key.span().start),
            })
            .collect();
        fields.sort_by_key(|field| field.place.line);
        RawItem { fields, place }
    }

    fn place(&self, offset: usize) -> Place {
        Place {
            file: Arc::clone(&self.source.file),
            line: self.line_starts.partition_point(|start| *start <= offset),
        }
    }
}

fn raw_value(value: &DeValue<'_>) -> RawValue {
    match value {
        DeValue::String(text) => RawValue::Text(text.to_string()),
        DeValue::Boolean(value) => RawValue::Boolean(*value),
        DeValue::Integer(integer) => {
            let parsed = i64::from_str_radix(integer.as_str(), integer.radix());
            parsed.map_or(RawValue::Other("integer out of range"), RawValue::Integer)
        }
        other => RawValue::Other(other.type_str()),
    }
}
