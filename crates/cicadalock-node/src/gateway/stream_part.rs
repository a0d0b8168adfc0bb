use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use cicadalock_core::gateway::{AttemptEnd, GatewayCall};
use cicadalock_core::time::ClockTime;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, StatusCode};

use super::attempt::{
    AttemptFailure, AttemptProgress, CallerRequest, EndpointAnswer, attempt, complete_end,
};
use super::connection_pool::EndpointConnection;
use super::dialect::GatewayDialect;
use super::request_guard::RequestGuard;
use super::shared::{GatewayShared, StartVerdict};

/// One endpoint's part of a stream: an attempt whose response head has arrived.
#[derive(Debug)]
pub(super) struct StreamPart {
    pub(super) progress: AttemptProgress,
    guard: RequestGuard,
    headers: HeaderMap,
    body: Incoming,
    /// What was read of the body already.
    read_ahead: VecDeque<Bytes>,
    connection: EndpointConnection,
}

/// What an endpoint sent next.
#[derive(Debug)]
pub(super) enum PartFrame {
    Data(Bytes),
    End,
    Broken(String),
}

/// How the attempt to go on with a stream at another endpoint ended.
#[derive(Debug)]
pub(super) enum ResumeEnd {
    /// The endpoint begins to answer.
    Begun(Box<StreamPart>),
    /// No endpoint takes the request; nothing was sent.
    Refused(&'static str),
    Failed(RequestGuard, AttemptProgress, AttemptFailure),
}

impl StreamPart {
    pub(super) fn new(
        answer: EndpointAnswer,
        guard: RequestGuard,
        progress: AttemptProgress,
    ) -> Self {
        let (head, body) = answer.response.into_parts();
        Self {
            progress,
            guard,
            headers: head.headers,
            body,
            read_ahead: answer.read_ahead.into(),
            connection: answer.connection,
        }
    }

    /// Sends the request to another endpoint, which goes on after the event `after`.
    pub(super) async fn resume<D: GatewayDialect>(
        shared: Rc<GatewayShared>,
        request: Rc<CallerRequest>,
        mut guard: RequestGuard,
        after: Option<String>,
        content_type: Option<HeaderValue>,
    ) -> ResumeEnd {
        let assignment = match guard.verdict().await {
            Some(StartVerdict::Start(assignment)) => assignment,
            Some(StartVerdict::Refuse { reason, .. }) => return ResumeEnd::Refused(reason.name()),
            None => return ResumeEnd::Refused("stopping"),
        };
        let progress = AttemptProgress::new(&assignment);
        let time_left = request.deadline.since(shared.now());
        let after = after.as_deref();
        match attempt::<D>(&shared, &request, &assignment, after, time_left).await {
            Ok(answer)
                if answer.response.status() == StatusCode::OK
                    && answer.response.headers().get(CONTENT_TYPE) == content_type.as_ref() =>
            {
                ResumeEnd::Begun(Box::new(Self::new(answer, guard, progress)))
            }
            Ok(answer) => {
                let status = answer.response.status().as_u16();
                let found = answer.response.headers().get(CONTENT_TYPE);
                let detail =
                    format!("status {status}, content type {found:?}, in place of a stream");
                let failure = AttemptFailure::new(AttemptEnd::Failed, detail);
                ResumeEnd::Failed(guard, progress, failure)
            }
            Err(failure) => ResumeEnd::Failed(guard, progress, failure),
        }
    }

    /// Waits for the next bytes. Cancelling loses nothing.
    pub(super) async fn frame(&mut self) -> PartFrame {
        if let Some(bytes) = self.read_ahead.pop_front() {
            return PartFrame::Data(bytes);
        }
        read_frame(&mut self.body).await
    }

    pub(super) fn content_type(&self) -> Option<&HeaderValue> {
        self.headers.get(CONTENT_TYPE)
    }

    /// Returns whether the end of the body is told from the end of its connection.
    pub(super) fn is_framed(&self) -> bool {
        complete_end(&self.headers) == AttemptEnd::Complete
    }

    /// Returns whether neither an event nor a frame around the body tells that the answer is whole.
    pub(super) fn is_bare(&self) -> bool {
        self.progress.begun_at.is_none() && !self.is_framed()
    }

    pub(super) const fn guard(&self) -> &RequestGuard {
        &self.guard
    }

    /// Records that an event was received.
    pub(super) fn record_event(&mut self, now: ClockTime) {
        if self.progress.begun_at.is_none() {
            self.guard.record_first_event();
        }
        if self.progress.record_event(now) {
            self.guard.record_survival();
        }
    }

    /// Ends the attempt and closes its connection.
    pub(super) fn close(mut self, end: AttemptEnd) -> (RequestGuard, Option<GatewayCall>) {
        drop((self.body, self.connection));
        let call = self.guard.finish_attempt(end);
        (self.guard, call)
    }

    /// Ends the attempt, whose answer is complete, and keeps its connection for other requests.
    pub(super) fn finish(mut self, shared: &GatewayShared) {
        let (endpoint, headers) = (&self.progress.endpoint, &self.headers);
        shared
            .pool
            .put(endpoint, self.connection, headers, shared.now());
        self.guard.finish_attempt(complete_end(&self.headers));
    }
}

/// Waits for the next bytes of a body. Cancelling loses nothing.
pub(super) async fn read_frame(body: &mut Incoming) -> PartFrame {
    loop {
        return match body.frame().await {
            None => PartFrame::End,
            Some(Err(error)) => PartFrame::Broken(error.to_string()),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => PartFrame::Data(bytes),
                Err(_) => continue,
            },
        };
    }
}
