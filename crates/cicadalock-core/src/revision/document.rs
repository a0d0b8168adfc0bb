use std::fmt;
use std::sync::Arc;

use crate::id::Revision;

/// Type of a published document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DocumentKind {
    /// The fleet configuration: base and overlays.
    Config,
    /// The list of live and leaving hosts.
    Hosts,
}

impl DocumentKind {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::Config, Self::Hosts];

    /// Returns the number that encodes the kind in messages.
    #[must_use]
    pub const fn to_wire(self) -> u32 {
        match self {
            Self::Config => 1,
            Self::Hosts => 2,
        }
    }

    /// Returns the kind that `value` encodes in messages; `None` if unknown.
    #[must_use]
    pub const fn from_wire(value: u32) -> Option<Self> {
        match value {
            1 => Some(Self::Config),
            2 => Some(Self::Hosts),
            _ => None,
        }
    }
}

impl fmt::Display for DocumentKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Config => "config",
            Self::Hosts => "hosts",
        })
    }
}

/// One revision of a published document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Kind of the document.
    pub kind: DocumentKind,
    /// Revision of the document; greater is newer.
    pub revision: Revision,
    /// Content of the document.
    pub text: Arc<str>,
}

impl Document {
    /// Creates a document.
    #[must_use]
    pub const fn new(kind: DocumentKind, revision: Revision, text: Arc<str>) -> Self {
        Self {
            kind,
            revision,
            text,
        }
    }
}
