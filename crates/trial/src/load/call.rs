use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Timeout for a complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(180);

/// A request to be sent by a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPlan {
    /// Path of the request.
    pub path: String,
    /// Token of the customer.
    pub token: String,
    /// Body of the request.
    pub body: String,
    /// Names and values of additional header fields.
    pub headers: Vec<(String, String)>,
}

/// Outcome of a request as far as its caller can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallVerdict {
    /// A complete response reports that the request completed, or has status 200 and no outcome
    /// header.
    Complete,
    /// A complete response reports that the request did not run.
    NotRun,
    /// A complete response reports neither of these, so the request may have run.
    Unknown,
    /// The response broke off after its head, or was not complete before the timeout.
    Broken,
    /// The connection failed, or the timeout passed, before a response head.
    Unreachable,
}

/// A response as observed by its caller.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// Outcome of the request.
    pub verdict: CallVerdict,
    /// HTTP status; 0 without a response.
    pub status: u16,
    /// Body, as far as it was received.
    pub body: Vec<u8>,
    /// Time from the start of the call to the first part of the body; `None` if no part arrived.
    pub first_byte: Option<Duration>,
    /// Time from the start of the call to the end of the response or to the failure.
    pub total: Duration,
    /// Longest time between two consecutive parts of the body.
    pub longest_gap: Duration,
    /// Value of the header `Cicadalock-Outcome`; empty without one.
    pub outcome: String,
}

/// Sends one request and reads the response.
///
/// Reuses `connection` if it is open, and otherwise replaces it by a new one. Clears it if the
/// response is incomplete.
pub async fn call(
    router: SocketAddr,
    connection: &mut Option<SendRequest<Full<Bytes>>>,
    plan: &CallPlan,
) -> CallAnswer {
    let started = Instant::now();
    let mut answer = CallAnswer {
        verdict: CallVerdict::Unreachable,
        status: 0,
        body: Vec::new(),
        first_byte: None,
        total: Duration::ZERO,
        longest_gap: Duration::ZERO,
        outcome: String::new(),
    };
    let exchange = exchange(router, connection, plan, started, &mut answer);
    let is_complete = tokio::time::timeout(RESPONSE_TIMEOUT, exchange)
        .await
        .ok()
        .flatten()
        .is_some();
    if !is_complete {
        *connection = None;
    }
    answer.total = started.elapsed();
    answer.verdict = match (is_complete, answer.status, answer.outcome.as_str()) {
        (false, 0, _) => CallVerdict::Unreachable,
        (false, _, _) => CallVerdict::Broken,
        // An endpoint that is called without a router sends no outcome header.
        (true, _, "complete") | (true, 200, "") => CallVerdict::Complete,
        (true, _, "not-run") => CallVerdict::NotRun,
        (true, _, _) => CallVerdict::Unknown,
    };
    answer
}

async fn exchange(
    router: SocketAddr,
    connection: &mut Option<SendRequest<Full<Bytes>>>,
    plan: &CallPlan,
    started: Instant,
    answer: &mut CallAnswer,
) -> Option<()> {
    let is_usable = connection
        .as_ref()
        .is_some_and(|sender| !sender.is_closed());
    if !is_usable {
        *connection = Some(connect(router).await?);
    }
    let sender = connection.as_mut()?;
    sender.ready().await.ok()?;
    let response = sender
        .send_request(build_request(router, plan))
        .await
        .ok()?;
    answer.status = response.status().as_u16();
    let outcome = response.headers().get("cicadalock-outcome");
    answer.outcome = outcome
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_owned();
    let mut body = response.into_body();
    let mut last = Instant::now();
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame.ok()?.into_data() else {
            continue;
        };
        if answer.first_byte.is_none() {
            answer.first_byte = Some(started.elapsed());
        } else {
            answer.longest_gap = answer.longest_gap.max(last.elapsed());
        }
        last = Instant::now();
        answer.body.extend_from_slice(&bytes);
    }
    Some(())
}

async fn connect(router: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(router).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        let _ = driver.await;
    });
    Some(sender)
}

fn build_request(router: SocketAddr, plan: &CallPlan) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(plan.body.clone())));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = plan.path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    let mut put = |name: &str, value: &str| {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), value.parse::<HeaderValue>()) {
            headers.insert(name, value);
        }
    };
    put(HOST.as_str(), &router.to_string());
    put(AUTHORIZATION.as_str(), &format!("Bearer {}", plan.token));
    put(CONTENT_TYPE.as_str(), "application/json");
    for (name, value) in &plan.headers {
        put(name, value);
    }
    request
}
