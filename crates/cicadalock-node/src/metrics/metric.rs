macro_rules! metrics {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// A counter of a process.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Metric {
            $($(#[$doc])* $name,)*
        }

        impl Metric {
            /// All counters.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the name in the statsd output and in the status.
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
    /// Requests received from callers.
    Requests = "requests",
    /// Requests whose response was complete.
    Complete = "outcome.complete",
    /// Requests reported to the caller as not run.
    NotRun = "outcome.not_run",
    /// Requests reported to the caller as of unknown outcome.
    Unknown = "outcome.unknown",
    /// Responses that broke off after their head.
    Broken = "outcome.broken",
    /// Requests whose caller disconnected early.
    CallerGone = "caller_gone",
    /// Requests that the router rejected itself, such as for their header fields or body.
    Rejected = "rejected",
    /// Retries of requests after an attempt that may have run.
    Retries = "retries",
    /// Connections closed on accept because their number was at its limit.
    ConnectionsRefused = "connections_refused",
    /// Calls to the endpoint.
    Calls = "calls",
    /// Calls that did not reach the endpoint.
    CallsNotReached = "calls.not_reached",
    /// Calls whose response broke off.
    CallsBroken = "calls.broken",
    /// Connections to other processes that were established and authenticated.
    LinksUp = "links.up",
    /// Connections to other processes that were lost.
    LinksDown = "links.down",
    /// Connections whose handshake failed, for instance for a wrong proof of the fleet's key.
    PeersRejected = "links.peers_rejected",
    /// Frames that were malformed or too large.
    BadFrames = "links.bad_frames",
    /// Unexpected handshake messages and messages about an unknown document kind.
    UnknownFrames = "links.unknown_frames",
    /// Connections closed because their outgoing queue was full.
    LinksOverrun = "links.overrun",
    /// Reads of the platform; a watch that waits for a change counts once.
    PlatformReads = "platform.reads",
    /// Reads of the platform that failed.
    PlatformErrors = "platform.errors",
    /// Documents that were put into force.
    DocumentsAccepted = "documents.accepted",
    /// Documents rejected because of findings.
    DocumentsRejected = "documents.rejected",
    /// Documents read that were not newer than the one in force.
    DocumentsStale = "documents.stale",
    /// Findings in rejected documents.
    Findings = "documents.findings",
    /// Trace spans sent.
    Spans = "spans",
}
