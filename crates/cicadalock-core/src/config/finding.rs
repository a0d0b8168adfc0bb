use std::fmt;
use std::sync::Arc;

/// One fault of a configuration, with its place.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// File that holds the fault.
    pub file: Arc<str>,
    /// Line in the file, counted from one.
    pub line: usize,
    /// Path of the key.
    pub key: String,
    /// What is wrong.
    pub problem: String,
}

impl Finding {
    pub(super) fn new(place: &super::raw::Place, key: String, problem: impl Into<String>) -> Self {
        Self {
            file: Arc::clone(&place.file),
            line: place.line,
            key,
            problem: problem.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}:{}: {}: {}",
            self.file, self.line, self.key, self.problem
        )
    }
}
