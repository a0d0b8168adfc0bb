use std::fmt;
use std::time::Duration;

use cicadalock_core::desk::{RateError, RequestRate};
use cicadalock_core::gateway::{EndpointPause, PauseError};
use cicadalock_core::id::{CustomerName, EndpointId};
use cicadalock_core::serving::PromptShape;
use hyper::HeaderMap;

use super::{GatewaySettings, PlatformStore};
use crate::desk::DeskSettings;

/// Translates between the gateway and the settings, header fields and store of a platform.
///
/// Implementations only convert formats; all decisions are the gateway's.
pub trait GatewayDialect: Send + Sync + 'static {
    /// Client of the platform's store.
    type Store: PlatformStore;
    /// Error for settings that are missing or unusable.
    type SettingsError: fmt::Display;

    /// Reads the gateway's settings from the platform's location.
    ///
    /// # Errors
    ///
    /// Fails if the settings are missing or unusable.
    fn load_settings() -> Result<GatewaySettings, Self::SettingsError>;

    /// Reads the settings of a desk, the admission controller that runs beside an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the settings are missing or unusable.
    fn load_desk_settings() -> Result<DeskSettings, Self::SettingsError>;

    /// Creates a client of the store at the address in the settings.
    fn open_store(settings: &GatewaySettings) -> Self::Store;

    /// Decodes the header fields of a caller's request.
    fn decode_request_fields(headers: &HeaderMap) -> RequestFields;

    /// Turns a caller's header fields into those that are sent to the endpoint.
    ///
    /// Removes fields that callers must not set, and adds the values of `context`.
    fn endpoint_headers(headers: &mut HeaderMap, context: &ForwardContext<'_>);

    /// Decodes the status and the header fields of an endpoint's answer.
    fn decode_answer_fields(status: u16, headers: &HeaderMap) -> AnswerFields;
}

/// Decoded header fields of a caller's request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestFields {
    /// Identifier that the caller gave this attempt.
    pub request: Option<String>,
    /// Time for which the caller waits for the answer; absent if unset or invalid.
    pub caller_timeout: Option<Duration>,
    /// The customer's access token.
    pub token: Option<String>,
    /// Token counts and parts of the prompt, if the caller states them.
    pub prompt: Option<PromptShape>,
    /// Id of the last event that the caller received of a stream that it resumes.
    pub resume_after: Option<String>,
}

/// Values that the gateway adds to a request when it forwards it to an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ForwardContext<'a> {
    /// Incarnation of the endpoint that must run the request; another one refuses it.
    pub endpoint: &'a EndpointId,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Customer that the request counts for; `None` on public routes, or if the
    /// configuration has no customers.
    pub customer: Option<&'a CustomerName>,
    /// Id of the event after which the endpoint resumes the stream.
    pub resume_after: Option<&'a str>,
}

/// Decoded status and header fields of an endpoint's answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerFields {
    /// Identifier of the caller's attempt, as echoed by the endpoint.
    pub request: Option<String>,
    /// Whether the endpoint states that it did not and will not run the request.
    pub is_not_run: bool,
    /// Whether an incarnation other than the expected one answered.
    pub is_misdirected: bool,
    /// Whether the answer carries the endpoint's signature.
    pub is_signed: bool,
    /// Numbers of running and of waiting requests at the endpoint, if it reports them.
    pub load: Option<(u32, u32)>,
    /// Requests that the endpoint takes from all routers together, if it names a limit; an error if
    /// what it names is not a rate.
    pub limit: Option<Result<RequestRate, RateError>>,
    /// Whether the endpoint says that it leaves.
    pub is_leaving: bool,
    /// Time for which the endpoint, which turned the request away, wants no other from this router; an error
    /// if what it names is not a time.
    pub pause: Option<Result<EndpointPause, PauseError>>,
}
