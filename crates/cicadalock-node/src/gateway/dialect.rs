use std::fmt;
use std::time::Duration;

use cicadalock_core::id::{CustomerName, EndpointId};
use cicadalock_core::serving::PromptShape;
use hyper::HeaderMap;

use super::{GatewaySettings, PlatformStore};
use crate::desk::DeskSettings;

/// The names and formats of a platform: it translates and decides nothing.
pub trait GatewayDialect: Send + Sync + 'static {
    /// Its store.
    type Store: PlatformStore;
    /// Why settings cannot be used.
    type SettingsError: fmt::Display;

    /// Reads this process's settings from where the platform puts them.
    ///
    /// # Errors
    ///
    /// Fails if there are none, or they cannot be used.
    fn load_settings() -> Result<GatewaySettings, Self::SettingsError>;

    /// Reads the settings of the process beside an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if there are none, or they cannot be used.
    fn load_desk_settings() -> Result<DeskSettings, Self::SettingsError>;

    /// Opens the store that the settings name.
    fn open_store(settings: &GatewaySettings) -> Self::Store;

    /// Reads what a caller tells in the head of its request.
    fn call_facts(headers: &HeaderMap) -> CallFacts;

    /// Replaces a caller's header fields by those that the endpoint is to see.
    fn endpoint_headers(headers: &mut HeaderMap, order: &ForwardContext<'_>);

    /// Reads what an endpoint tells in the head of its answer.
    fn answer_facts(status: u16, headers: &HeaderMap) -> AnswerFacts;
}

/// What a caller tells of its request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallFacts {
    /// Number of this attempt of the caller.
    pub request: Option<String>,
    /// How long the caller waits.
    pub caller_timeout: Option<Duration>,
    /// The customer's token.
    pub token: Option<String>,
    /// The prompt.
    pub prompt: Option<PromptShape>,
    /// Event after which the caller goes on.
    pub resume_after: Option<String>,
}

/// What an endpoint is told beside the caller's own words.
#[derive(Debug, Clone, Copy)]
pub struct ForwardContext<'a> {
    /// Incarnation that is to run the request.
    pub endpoint: &'a EndpointId,
    /// Time left for it.
    pub time_left: Duration,
    /// Customer that is charged; none on public routes.
    pub customer: Option<&'a CustomerName>,
    /// Event after which a stream goes on.
    pub resume_after: Option<&'a str>,
}

/// What an endpoint tells of its answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Number of the caller's attempt that it answers.
    pub request: Option<String>,
    /// The endpoint did not and will not run the request.
    pub is_not_run: bool,
    /// Another incarnation answered.
    pub is_misdirected: bool,
    /// The endpoint's signature is there.
    pub is_signed: bool,
    /// Requests that run and that wait at the endpoint.
    pub load: Option<(u32, u32)>,
}
