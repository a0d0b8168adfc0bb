use std::fmt;

use crate::id::{PartId, RequestDigest};

/// What an endpoint may have crashed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspect {
    /// A part of prompts, in whatever request.
    Part(PartId),
    /// A request, whenever its caller sends it again.
    Request(RequestDigest),
}

impl Suspect {
    /// Returns whether only repetitions of one request have it.
    #[must_use]
    pub const fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }
}

impl From<PartId> for Suspect {
    fn from(part: PartId) -> Self {
        Self::Part(part)
    }
}

impl From<RequestDigest> for Suspect {
    fn from(digest: RequestDigest) -> Self {
        Self::Request(digest)
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(formatter),
            Self::Request(digest) => digest.fmt(formatter),
        }
    }
}
