use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cicadalock_core::gateway::{AttemptEnd, GatewayCall, RefusalDetail, RetryDenial};
use cicadalock_core::id::{CustomerId, CustomerName, EndpointId};
use cicadalock_core::serving::{PromptShape, RouteConfig, ServingConfig};
use cicadalock_core::time::ClockTime;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, Uri};
use serde_json::json;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::attempt::{
    AttemptFailure, AttemptProgress, CallerRequest, EndpointAnswer, attempt, complete_end,
    remove_hop_by_hop_headers,
};
use super::dialect::{GatewayDialect, RequestFields};
use super::gateway_body::GatewayBody;
use super::gateway_metrics::{AnswerLabels, EndLabels};
use super::refusal::CallerRefusal;
use super::request_digest::request_digest;
use super::request_guard::RequestGuard;
use super::shared::{EndpointAssignment, GatewayShared, StartVerdict};
use super::stream_part::StreamPart;
use super::stream_relay::{SilenceLimits, StreamRelay};
use crate::callers::{BodyError, read_body};

/// `Retry-After` of refusals that should clear soon, such as before the first configuration has
/// been read or while the process stops.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Timeout of requests that do not state one.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// Time to wait for the response head of a retryable request beyond the predicted time to its first
/// event, as a multiple of the route's objective. Another endpoint is then tried as well.
const STANDBY_FACTOR: f64 = 2.5;

/// An endpoint's response whose body was read to its end.
struct BufferedAnswer {
    endpoint: EndpointId,
    status: hyper::StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// How the attempt ended.
    end: AttemptEnd,
}

/// Result of one attempt at an endpoint.
enum AttemptOutcome {
    /// The endpoint begins a stream.
    Stream(EndpointAnswer),
    Whole(BufferedAnswer),
    /// The attempt failed. An error response of the endpoint is kept in case no retry follows.
    Failed(AttemptFailure, Option<BufferedAnswer>),
}

/// An attempt that failed, and what is needed to retry the request.
struct FailedAttempt {
    failure: AttemptFailure,
    answer: Option<BufferedAnswer>,
    progress: AttemptProgress,
    /// `None` if the gateway no longer knows the request.
    call: Option<GatewayCall>,
    /// Whether this attempt, or another one made beside it, may have run the request.
    may_have_run: bool,
}

/// A second attempt, made during the silence of the first, whose endpoint answers.
struct AnsweredStandby {
    guard: RequestGuard,
    assignment: EndpointAssignment,
    outcome: AttemptOutcome,
}

/// Marks an answer to a request whose body was not read to its end.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnreadBody;

/// Runs one request: attempts, retries and the response to the caller.
struct RequestHandler {
    shared: Rc<GatewayShared>,
    request: CallerRequest,
    route: Arc<RouteConfig>,
    config_version: u64,
    fields: RequestFields,
    arrived: ClockTime,
    /// Whether any attempt so far may have run the request.
    may_have_run: bool,
}

/// Serves one request of a caller; refuses it if it has no answer once `end` is cancelled.
pub(super) async fn serve<D: GatewayDialect>(
    shared: Rc<GatewayShared>,
    request: Request<Incoming>,
    end: &CancellationToken,
) -> Result<Response<GatewayBody>, Infallible> {
    let arrived = shared.now();
    let (parts, body) = request.into_parts();
    let fields = D::decode_request_fields(&parts.headers);
    let request_id = fields.request.clone().unwrap_or_default();
    let mut watch = AnswerWatch {
        shared: Rc::clone(&shared),
        request: request_id.clone(),
        arrived,
        is_answered: false,
    };
    let resolved = resolve_context(&shared, &parts, &fields, arrived);
    let is_body_read = Cell::new(body.is_end_stream());
    let handled = async {
        let handler = read_request(&shared, parts, body, fields, resolved?).await?;
        is_body_read.set(true);
        Ok(handler.run::<D>().await)
    };
    let grace_over = || {
        Err(if is_body_read.get() {
            CallerRefusal::may_have_run(502, "grace-over")
        } else {
            CallerRefusal::not_run("grace-over", DEFAULT_RETRY_AFTER)
        })
    };
    // Pinned here, as a future that is passed on takes its space twice.
    let handled = end.run_until_cancelled(pin!(handled)).await;
    let mut response = handled
        .unwrap_or_else(grace_over)
        .unwrap_or_else(|refusal| refuse(&shared, &request_id, refusal, arrived));
    watch.is_answered = true;
    if !is_body_read.get() {
        response.extensions_mut().insert(UnreadBody);
    }
    if shared.should_shed_connections() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Logs a request whose connection ends before it has a response.
struct AnswerWatch {
    shared: Rc<GatewayShared>,
    request: String,
    arrived: ClockTime,
    is_answered: bool,
}

impl Drop for AnswerWatch {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        self.shared.metrics.unanswered.inc();
        self.shared.log.write(
            "unanswered",
            json!({
                "request": self.request,
                "is_stopping": self.shared.is_stopping(),
                "config": self.shared.config.borrow().as_ref().map(|config| config.version()),
                "ms": self.shared.now().since(self.arrived).as_millis() as u64,
            }),
        );
    }
}

/// Refuses a request unread and asks the caller to close its connection.
pub(super) fn refuse_unread<D: GatewayDialect>(
    shared: &GatewayShared,
    request: &Request<Incoming>,
    refusal: CallerRefusal,
) -> Response<GatewayBody> {
    let fields = D::decode_request_fields(request.headers());
    let request_id = fields.request.unwrap_or_default();
    let mut response = refuse(shared, &request_id, refusal, shared.now());
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    if !request.body().is_end_stream() {
        response.extensions_mut().insert(UnreadBody);
    }
    response
}

/// Configuration, route and customer that apply to a request.
struct RequestContext {
    config: Arc<ServingConfig>,
    route: Arc<RouteConfig>,
    /// `None` on public routes and if the configuration has no customers.
    customer: Option<CustomerName>,
    arrived: ClockTime,
}

/// Matches a request to its route and authenticates its customer.
fn resolve_context(
    shared: &GatewayShared,
    parts: &Parts,
    fields: &RequestFields,
    arrived: ClockTime,
) -> Result<RequestContext, CallerRefusal> {
    let Some(config) = shared.config.borrow().clone() else {
        return Err(CallerRefusal::not_run(
            "no-configuration",
            DEFAULT_RETRY_AFTER,
        ));
    };
    let host = parts.uri.authority().map(|authority| authority.as_str());
    let host = host.or_else(|| {
        parts
            .headers
            .get(HOST)
            .and_then(|value| value.to_str().ok())
    });
    let Some(host) = host else {
        return Err(CallerRefusal::client_error(400, "no-host"));
    };
    let Some(route) = config.routes().find(host, parts.uri.path()).cloned() else {
        return Err(CallerRefusal::client_error(404, "no-route"));
    };
    let customer = if config.has_customers() && !route.is_public {
        if !shared.is_token_data_fresh() {
            return Err(CallerRefusal::not_run(
                "tokens-too-old",
                DEFAULT_RETRY_AFTER,
            ));
        }
        if !shared.is_token_data_current() {
            return Err(CallerRefusal::not_run(
                "tokens-older-than-elsewhere",
                DEFAULT_RETRY_AFTER,
            ));
        }
        let customer = fields
            .token
            .as_deref()
            .and_then(|token| config.customer(token));
        let Some(customer) = customer else {
            return Err(CallerRefusal::client_error(401, "unknown-token"));
        };
        Some(customer.clone())
    } else {
        None
    };
    let customer_id = customer.as_ref().map_or(CustomerId::new(0), CustomerId::of);
    if !shared.admits(customer_id) {
        let cost = fields.prompt.as_ref().map_or(1, PromptShape::cost);
        let mut machine = shared.machine.borrow_mut();
        machine.record_host_refusal(customer_id, cost);
        return Err(CallerRefusal::not_run("host-behind", DEFAULT_RETRY_AFTER));
    }
    Ok(RequestContext {
        config,
        route,
        customer,
        arrived,
    })
}

/// Reads the body of a request and sets its deadline.
async fn read_request(
    shared: &Rc<GatewayShared>,
    parts: Parts,
    body: Incoming,
    fields: RequestFields,
    context: RequestContext,
) -> Result<RequestHandler, CallerRefusal> {
    let RequestContext {
        config,
        route,
        customer,
        arrived,
    } = context;
    let caller_timeout = fields.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let deadline = arrived + caller_timeout.min(route.timeout);
    let time_left = deadline.since(shared.now());
    let body = read_body(body, config.limits().body_bytes, time_left).await;
    let body = body.map_err(|fault| match fault {
        BodyError::TooLarge => CallerRefusal::client_error(413, "body-too-large"),
        BodyError::Incomplete => CallerRefusal::client_error(400, "bad-body"),
        BodyError::TimedOut => CallerRefusal::client_error(408, "slow-body"),
    })?;
    let path = parts.uri.path_and_query().cloned();
    let digest = request_digest(customer.as_ref(), &parts.method, &parts.uri, &body);
    let prompt = fields.prompt.iter();
    let shared_parts = prompt.flat_map(|prompt| prompt.shared());
    let request = CallerRequest {
        method: parts.method,
        uri: path.map_or_else(|| Uri::from_static("/"), Uri::from),
        headers: parts.headers,
        body,
        number: fields.request.clone().unwrap_or_default(),
        customer,
        deadline,
        may_retry: route.may_retry(),
        shared_parts: shared_parts.map(|part| part.id).collect(),
        digest,
    };
    Ok(RequestHandler {
        shared: Rc::clone(shared),
        request,
        route,
        config_version: config.version(),
        fields,
        arrived,
        may_have_run: false,
    })
}

impl RequestHandler {
    /// Attempts the request until it succeeds or must not be retried, and returns the response.
    async fn run<D: GatewayDialect>(mut self) -> Response<GatewayBody> {
        let request_hash = xxh3_64(self.request.number.as_bytes());
        let Some(service) = self.route.target(request_hash).cloned() else {
            return self.refuse(CallerRefusal::not_run("no-service", DEFAULT_RETRY_AFTER));
        };
        let customer = self.request.customer.as_ref();
        let customer = customer.map_or(CustomerId::new(0), CustomerId::of);
        let prompt = self.fields.prompt.take().filter(|_| self.route.has_prompt);
        // Prompts may differ in header fields only, which the digest leaves out.
        let digest = prompt.is_none().then_some(self.request.digest);
        let call = GatewayCall::builder(service, customer, self.arrived)
            .prompt(prompt)
            .objective(self.route.objective, self.route.pause)
            .deadline(self.request.deadline)
            .attempts(self.route.may_retry(), self.route.max_attempts)
            .digest(digest)
            .build();
        let mut guard = RequestGuard::submit(&self.shared, call);
        loop {
            let time_left = self.request.deadline.since(self.shared.now());
            let assignment = match tokio::time::timeout(time_left, guard.verdict()).await {
                Ok(Some(StartVerdict::Start(assignment))) => assignment,
                Ok(Some(StartVerdict::Refuse {
                    reason,
                    retry_after,
                    detail,
                })) => {
                    self.log_refusal_detail(reason.name(), &detail);
                    let mut refusal = self.refusal_before_start(reason.name(), retry_after);
                    if reason.is_final() {
                        refusal.retry_after = None;
                    }
                    return self.refuse(refusal);
                }
                Ok(None) => {
                    return self.refuse(self.refusal_before_start("stopping", DEFAULT_RETRY_AFTER));
                }
                Err(_) => {
                    return self.refuse(
                        self.refusal_before_start("timeout-before-start", DEFAULT_RETRY_AFTER),
                    );
                }
            };
            let objective = (!self.route.is_streaming()).then_some(self.route.objective);
            if !self.may_have_run && !self.shared.may_pass_on(objective) {
                guard.finish_attempt(AttemptEnd::EndpointLeft);
                return self.refuse(CallerRefusal::not_run("stopping-late", DEFAULT_RETRY_AFTER));
            }
            self.log_start(&assignment, guard.number());
            let failed = match self.race::<D>(&assignment, &mut guard).await {
                Ok(response) => return response,
                Err(failed) => failed,
            };
            let FailedAttempt {
                failure,
                answer,
                progress,
                call,
                may_have_run,
            } = *failed;
            self.may_have_run |= may_have_run;
            let Some(call) = call else {
                return self.refuse(self.refusal_before_start("stopping", DEFAULT_RETRY_AFTER));
            };
            // No other endpoint could begin a stream before its caller leaves.
            let denial = if self.is_silent() {
                Some(RetryDenial::Time)
            } else {
                guard.retry(call, failure.end).err()
            };
            let next = denial.map_or("repeated", RetryDenial::name);
            failure.log(&self.shared, &self.request, &progress, next);
            if denial.is_none() {
                continue;
            }
            return match answer {
                Some(answer) => self.send_buffered(answer),
                None => self.refuse(self.refusal_after_failure(&failure)),
            };
        }
    }

    /// Makes an attempt, and a second one at another endpoint if the first is silent for long.
    ///
    /// A silent endpoint may be sound, so its attempt goes on: the first answer is sent to the caller,
    /// and the other attempt is cancelled.
    async fn race<D: GatewayDialect>(
        &self,
        assignment: &EndpointAssignment,
        guard: &mut RequestGuard,
    ) -> Result<Response<GatewayBody>, Box<FailedAttempt>> {
        let mut first = std::pin::pin!(self.try_endpoint::<D>(assignment));
        if !self.route.may_retry() {
            return self.conclude::<D>(first.await, assignment, guard);
        }
        let limit = self.route.objective.mul_f64(STANDBY_FACTOR) + assignment.expected;
        tokio::select! {
            biased;
            outcome = &mut first => return self.conclude::<D>(outcome, assignment, guard),
            () = self.shared.wait_for_silence(limit) => {}
        }
        let standby = guard.begin_standby();
        let next = standby
            .as_ref()
            .err()
            .map_or("standby", |denial| denial.name());
        self.log_silence(assignment, limit, next);
        let Ok(standby) = standby else {
            self.record_silence(next);
            return self.conclude::<D>(first.await, assignment, guard);
        };
        let mut second = std::pin::pin!(self.try_standby::<D>(standby));
        let mut first_failed = None;
        let standby = tokio::select! {
            outcome = &mut first => match self.conclude::<D>(outcome, assignment, guard) {
                Ok(response) => {
                    self.record_silence("went-on");
                    return Ok(response);
                }
                Err(failed) => {
                    first_failed = Some(failed);
                    let time_left = self.request.deadline.since(self.shared.now());
                    let second = tokio::time::timeout(time_left, second);
                    second.await.unwrap_or(Err(None))
                }
            },
            standby = &mut second => standby,
        };
        match standby {
            Ok(mut answered) => {
                self.record_silence("replaced");
                let failed = first_failed.unwrap_or_else(|| {
                    let detail = "another endpoint answered during the silence";
                    let failure = AttemptFailure::new(AttemptEnd::Broken, detail);
                    self.fail(failure, None, assignment, guard)
                });
                self.log_failure(&failed, "replaced");
                let (outcome, guard) = (answered.outcome, &mut answered.guard);
                self.conclude::<D>(outcome, &answered.assignment, guard)
            }
            Err(standby_failed) => {
                let Some(failed) = first_failed else {
                    if let Some(standby_failed) = &standby_failed {
                        self.log_failure(standby_failed, "silent-attempt");
                    }
                    let result = self.conclude::<D>(first.await, assignment, guard);
                    return result.map_err(|failed| failed.after(standby_failed));
                };
                let Some(standby_failed) = standby_failed else {
                    return Err(failed);
                };
                self.log_failure(&failed, "standby");
                Err(standby_failed.after(Some(failed)))
            }
        }
    }

    /// Makes a second attempt during the silence of the first.
    ///
    /// Returns `None` in place of a failed attempt if no endpoint takes the request.
    async fn try_standby<D: GatewayDialect>(
        &self,
        mut guard: RequestGuard,
    ) -> Result<AnsweredStandby, Option<Box<FailedAttempt>>> {
        let assignment = match guard.verdict().await {
            Some(StartVerdict::Start(assignment)) => assignment,
            Some(StartVerdict::Refuse { reason, .. }) => {
                self.record_silence(reason.name());
                return Err(None);
            }
            None => return Err(None),
        };
        self.log_start(&assignment, guard.number());
        let outcome = match self.try_endpoint::<D>(&assignment).await {
            AttemptOutcome::Stream(answer) => self.wait_for_event(answer).await,
            outcome => outcome,
        };
        match outcome {
            AttemptOutcome::Failed(failure, answer) => {
                Err(Some(self.fail(failure, answer, &assignment, &mut guard)))
            }
            outcome => Ok(AnsweredStandby {
                guard,
                assignment,
                outcome,
            }),
        }
    }

    /// Waits for the first event of a stream; its head alone does not tell that it goes on.
    async fn wait_for_event(&self, mut answer: EndpointAnswer) -> AttemptOutcome {
        let time_left = self.head_timeout();
        let problem = tokio::select! {
            biased;
            read = answer.read_first_event() => match read {
                Ok(()) => return AttemptOutcome::Stream(answer),
                Err(problem) => problem,
            },
            () = self.shared.wait_for_silence(time_left) => "no event before the timeout".to_owned(),
        };
        AttemptOutcome::Failed(AttemptFailure::new(AttemptEnd::Broken, problem), None)
    }

    /// Returns the time until the request is given up unless an answer begins.
    fn head_timeout(&self) -> Duration {
        let now = self.shared.now();
        let time_left = self.request.deadline.since(now);
        if self.route.is_streaming() {
            let waited = now.since(self.arrived);
            let silence_left = self.route.silence_limit().saturating_sub(waited);
            silence_left.min(time_left)
        } else {
            time_left
        }
    }

    /// Makes one attempt at the endpoint that `assignment` names.
    async fn try_endpoint<D: GatewayDialect>(
        &self,
        assignment: &EndpointAssignment,
    ) -> AttemptOutcome {
        let head_timeout = self.head_timeout();
        let resume = self.fields.resume_after.as_deref();
        let answer = attempt::<D>(
            &self.shared,
            &self.request,
            assignment,
            resume,
            head_timeout,
        )
        .await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(failure) => return AttemptOutcome::Failed(failure, None),
        };
        let status = answer.response.status();
        if self.route.is_streaming() && status.is_success() {
            return AttemptOutcome::Stream(answer);
        }
        let time_left = self.request.deadline.since(self.shared.now());
        let buffered = tokio::time::timeout(time_left, buffer_answer(&self.shared, answer)).await;
        match buffered {
            Ok(Ok(answer)) if status.is_server_error() => {
                let detail = format!("status {}", status.as_u16());
                let failure = AttemptFailure::new(AttemptEnd::Failed, detail);
                AttemptOutcome::Failed(failure, Some(answer))
            }
            Ok(Ok(answer)) => AttemptOutcome::Whole(answer),
            Ok(Err(detail)) => {
                AttemptOutcome::Failed(AttemptFailure::new(AttemptEnd::Broken, detail), None)
            }
            Err(_) => {
                let failure = AttemptFailure::new(
                    AttemptEnd::Broken,
                    "response not complete before the deadline",
                );
                AttemptOutcome::Failed(failure, None)
            }
        }
    }

    /// Turns the result of an attempt into the response for the caller, or ends the attempt.
    fn conclude<D: GatewayDialect>(
        &self,
        outcome: AttemptOutcome,
        assignment: &EndpointAssignment,
        guard: &mut RequestGuard,
    ) -> Result<Response<GatewayBody>, Box<FailedAttempt>> {
        match outcome {
            AttemptOutcome::Stream(answer) => Ok(self.relay::<D>(answer, assignment, guard)),
            AttemptOutcome::Whole(answer) => {
                guard.record_first_event();
                guard.finish_attempt(answer.end);
                Ok(self.send_buffered(answer))
            }
            AttemptOutcome::Failed(failure, answer) => {
                Err(self.fail(failure, answer, assignment, guard))
            }
        }
    }

    /// Ends an attempt that failed.
    fn fail(
        &self,
        failure: AttemptFailure,
        answer: Option<BufferedAnswer>,
        assignment: &EndpointAssignment,
        guard: &mut RequestGuard,
    ) -> Box<FailedAttempt> {
        let call = guard.finish_attempt(failure.end);
        let may_have_run = !failure.end.is_not_run();
        Box::new(FailedAttempt {
            failure,
            answer,
            progress: AttemptProgress::new(assignment),
            call,
            may_have_run,
        })
    }

    fn relay<D: GatewayDialect>(
        &self,
        answer: EndpointAnswer,
        assignment: &EndpointAssignment,
        guard: &mut RequestGuard,
    ) -> Response<GatewayBody> {
        let status = answer.response.status();
        let headers = caller_headers(answer.response.headers());
        self.log_answer(status.as_u16(), "stream", Some(&assignment.endpoint));
        let part = StreamPart::new(answer, guard.take(), AttemptProgress::new(assignment));
        let limits = SilenceLimits::of(&self.route);
        let relay = StreamRelay::new(&self.shared, self.request.clone(), limits, part)
            .arrived(self.arrived)
            .resume_after(self.fields.resume_after.clone())
            .config_version(self.config_version);
        let mut response = Response::new(relay.start::<D>());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    fn send_buffered(&self, answer: BufferedAnswer) -> Response<GatewayBody> {
        let elapsed = self.shared.now().since(self.arrived).as_secs_f64();
        self.shared.metrics.first.observe(elapsed);
        self.shared.metrics.whole.observe(elapsed);
        self.log_answer(answer.status.as_u16(), "whole", Some(&answer.endpoint));
        let mut response = Response::new(GatewayBody::Buffered(Full::new(answer.body)));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        response
    }

    /// Returns the refusal of a request that was not started, or not started again after a failed
    /// attempt.
    const fn refusal_before_start(
        &self,
        reason: &'static str,
        retry_after: Duration,
    ) -> CallerRefusal {
        if self.may_have_run {
            CallerRefusal::may_have_run(502, reason)
        } else {
            CallerRefusal::not_run(reason, retry_after)
        }
    }

    /// Returns whether the caller of a stream is about to leave because nothing has arrived.
    fn is_silent(&self) -> bool {
        let waited = self.shared.now().since(self.arrived);
        self.route.is_streaming() && waited >= self.route.silence_limit()
    }

    /// Returns the refusal of a request whose last attempt failed.
    fn refusal_after_failure(&self, failure: &AttemptFailure) -> CallerRefusal {
        if !self.may_have_run {
            return CallerRefusal::not_run(failure.end.name(), DEFAULT_RETRY_AFTER);
        }
        let is_late = self.is_silent() || self.shared.now() >= self.request.deadline;
        let status = if is_late { 504 } else { 502 };
        CallerRefusal::may_have_run(status, failure.end.name())
    }

    fn refuse(&self, refusal: CallerRefusal) -> Response<GatewayBody> {
        refuse(&self.shared, &self.request.number, refusal, self.arrived)
    }

    fn log_start(&self, assignment: &EndpointAssignment, number: u64) {
        self.shared
            .metrics
            .wait
            .observe(assignment.waited.as_secs_f64());
        let parts = self.request.shared_parts.iter();
        let parts: Vec<String> = parts.map(ToString::to_string).collect();
        self.shared.log.write(
            "start",
            json!({
                "request": self.request.number,
                "number": number,
                "route": &*self.route.name,
                "config": self.config_version,
                "age_ms": self.shared.store_data_age().map(|age| age.as_millis() as u64),
                "endpoint": assignment.endpoint.as_str(),
                "waited_ms": assignment.waited.as_millis() as u64,
                "parts": parts,
                "digest": self.request.digest.to_string(),
                "expected_ms": assignment.expected.as_millis() as u64,
            }),
        );
    }

    /// Logs what decided that the request is refused, beside the line of the answer.
    fn log_refusal_detail(&self, reason: &str, detail: &RefusalDetail) {
        let usage = detail.usage.unwrap_or_default();
        self.shared.log.write(
            "refused-by",
            json!({
                "request": self.request.number,
                "customer": self.request.customer.as_ref().map(CustomerName::as_str),
                "customer_id": detail.customer.get(),
                "reason": reason,
                "stage": detail.stage.name(),
                "received": usage.own.received as u64,
                "received_age_ms": usage.own.age.as_millis() as u64,
                "best": usage.best.received as u64,
                "best_age_ms": usage.best.age.as_millis() as u64,
            }),
        );
    }

    fn log_failure(&self, failed: &FailedAttempt, next: &str) {
        failed
            .failure
            .log(&self.shared, &self.request, &failed.progress, next);
    }

    /// Logs that an endpoint has sent no response head for `limit`.
    fn log_silence(&self, assignment: &EndpointAssignment, limit: Duration, next: &str) {
        let waited = self.shared.now().since(assignment.started_at);
        self.shared.log.write(
            "attempt-silent",
            json!({
                "request": self.request.number,
                "endpoint": assignment.endpoint.as_str(),
                "silent_ms": waited.as_millis() as u64,
                "standby_ms": limit.as_millis() as u64,
                "config": self.config_version,
                "next": next,
            }),
        );
    }

    /// Counts what followed the silence of an endpoint.
    fn record_silence(&self, outcome: &str) {
        let labels = EndLabels::new(outcome);
        self.shared.metrics.silences.get_or_create(&labels).inc();
    }

    fn log_answer(&self, status: u16, form: &str, endpoint: Option<&EndpointId>) {
        let reason = form.to_owned();
        let labels = AnswerLabels { status, reason };
        self.shared.metrics.answers.get_or_create(&labels).inc();
        self.shared.log.write(
            "answer",
            json!({
                "request": self.request.number,
                "status": status,
                "form": form,
                "endpoint": endpoint.map(EndpointId::as_str),
                "ms": self.shared.now().since(self.arrived).as_millis() as u64,
            }),
        );
    }
}

impl FailedAttempt {
    /// Adds what an attempt tells that failed `before` this one.
    fn after(mut self: Box<Self>, before: Option<Box<Self>>) -> Box<Self> {
        if let Some(before) = before {
            self.may_have_run |= before.may_have_run;
            self.answer = self.answer.or(before.answer);
        }
        self
    }
}

/// Counts and logs a refusal, and returns its response.
fn refuse(
    shared: &GatewayShared,
    request_id: &str,
    refusal: CallerRefusal,
    arrived: ClockTime,
) -> Response<GatewayBody> {
    let labels = AnswerLabels {
        status: refusal.status,
        reason: refusal.reason.to_owned(),
    };
    shared.metrics.answers.get_or_create(&labels).inc();
    shared.log.write(
        "refusal",
        json!({
            "request": request_id,
            "status": refusal.status,
            "reason": refusal.reason,
            "retry_after_ms": refusal.retry_after.map(|after| after.as_millis() as u64),
            "config": shared.config.borrow().as_ref().map(|config| config.version()),
            "age_ms": shared.store_data_age().map(|age| age.as_millis() as u64),
            "ms": shared.now().since(arrived).as_millis() as u64,
        }),
    );
    refusal.respond()
}

/// Reads a response to its end and returns its connection to the pool.
async fn buffer_answer(
    shared: &Rc<GatewayShared>,
    answer: EndpointAnswer,
) -> Result<BufferedAnswer, String> {
    let EndpointAnswer {
        endpoint,
        response,
        connection,
        ..
    } = answer;
    let (parts, body) = response.into_parts();
    let end = complete_end(&parts.headers);
    let ends_with_connection = end == AttemptEnd::CompleteUnframed && !body.is_end_stream();
    let body = shared.answer_buffers.read(body).await?;
    if ends_with_connection && body.is_empty() {
        return Err("the answer has neither a length nor a body".to_owned());
    }
    shared
        .pool
        .put(&endpoint, connection, &parts.headers, shared.now());
    Ok(BufferedAnswer {
        endpoint,
        status: parts.status,
        end,
        headers: caller_headers(&parts.headers),
        body,
    })
}

/// Returns the header fields of an endpoint's response that are forwarded to the caller.
fn caller_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    remove_hop_by_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers
}
