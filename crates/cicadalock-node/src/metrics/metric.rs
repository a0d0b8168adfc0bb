macro_rules! metrics {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// What is counted.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Metric {
            $($(#[$doc])* $name,)*
        }

        impl Metric {
            /// Every counter.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Name in the statsd output and in the status.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

metrics! {
    /// Callers' requests.
    Requests = "requests",
    /// Requests answered whole.
    Complete = "outcome.complete",
    /// Requests told as not run.
    NotRun = "outcome.not_run",
    /// Requests told as unknown.
    Unknown = "outcome.unknown",
    /// Answers that broke off after their head.
    Broken = "outcome.broken",
    /// Requests whose caller went away.
    CallerGone = "caller_gone",
    /// Requests rejected before they were classified.
    Rejected = "rejected",
    /// Retries of requests that were handed over before.
    Retries = "retries",
    /// Callers' connections refused for want of room.
    ConnectionsRefused = "connections_refused",
    /// Calls of the endpoint.
    Calls = "calls",
    /// Calls that did not reach the endpoint.
    CallsNotReached = "calls.not_reached",
    /// Calls whose answer broke off.
    CallsBroken = "calls.broken",
    /// Connections of other processes that were accepted.
    LinksUp = "links.up",
    /// Connections to other processes that were lost.
    LinksDown = "links.down",
    /// Peers that did not prove knowledge of the fleet's key.
    PeersRejected = "links.peers_rejected",
    /// Frames that could not be decoded.
    BadFrames = "links.bad_frames",
    /// Frames of a type that is not known.
    UnknownFrames = "links.unknown_frames",
    /// Connections closed because their outgoing ring was full.
    LinksOverrun = "links.overrun",
    /// Reads of the platform, a waiting watch counted as one.
    PlatformReads = "platform.reads",
    /// Reads of the platform that failed.
    PlatformErrors = "platform.errors",
    /// Documents taken into force.
    DocumentsAccepted = "documents.accepted",
    /// Documents with findings.
    DocumentsRejected = "documents.rejected",
    /// Documents that were older than the one in force.
    DocumentsStale = "documents.stale",
    /// Findings in rejected documents.
    Findings = "documents.findings",
    /// Spans that were sent.
    Spans = "spans",
}
