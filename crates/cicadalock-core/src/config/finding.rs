use std::fmt;
use std::sync::Arc;

/// A configuration error with its place in the file.
///
/// Displays as `file:line: key: problem`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Name of the file, as given to [`ConfigText::new`](super::ConfigText::new).
    pub file: Arc<str>,
    /// Line number in the file, starting at 1.
    pub line: usize,
    /// Dotted path of the key, such as `customers.skole-aarhus.share`.
    pub key: String,
    /// Description of the error.
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
