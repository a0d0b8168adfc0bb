use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cicadalock_core::id::EndpointId;
use cicadalock_core::quarantine::GuardChange;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::gateway_metrics::PartLabels;
use super::shared::GatewayShared;

/// Time within which an endpoint that runs accepts a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Time for which an endpoint that runs keeps the new connection open.
///
/// A proxy in front of an endpoint that has ended accepts the connection and closes it.
const OPEN_TIME: Duration = Duration::from_millis(50);

impl GatewayShared {
    /// Checks in the background whether an endpoint that broke requests accepts connections.
    pub(super) fn check_endpoint(self: &Rc<Self>, endpoint: EndpointId, address: SocketAddr) {
        let shared = Rc::clone(self);
        tokio::task::spawn_local(async move {
            shared.metrics.connects.inc();
            let problem = find_problem(address).await;
            let now = shared.now();
            shared.log.write(
                "endpoint-check",
                json!({
                    "endpoint": endpoint.as_str(),
                    "is_alive": problem.is_none(),
                    "problem": problem,
                }),
            );
            let is_alive = problem.is_none();
            shared
                .machine
                .borrow_mut()
                .record_check(&endpoint, is_alive, now);
            shared.drive();
        });
    }

    /// Logs and counts a part of prompts or a request that is refused from now on, or no longer.
    pub(super) fn report_suspect(&self, change: &GuardChange) {
        let labels = PartLabels {
            service: change.service.to_string(),
            part: change.suspect.to_string(),
        };
        let (refused, allowed) = if change.suspect.is_request() {
            ("request-refused", "request-allowed")
        } else {
            ("part-refused", "part-allowed")
        };
        let Some(verdict) = &change.verdict else {
            self.metrics.refused_parts.remove(&labels);
            self.log.write(
                allowed,
                json!({"service": labels.service, "part": labels.part}),
            );
            return;
        };
        let gauge = self.metrics.refused_parts.get_or_create(&labels);
        gauge.set(verdict.crashes as i64);
        let now = self.now();
        let companions = verdict.companions.iter().map(ToString::to_string);
        self.log.write(
            refused,
            json!({
                "service": labels.service,
                "part": labels.part,
                "crashes": verdict.crashes,
                "endpoints": verdict.endpoints,
                "reporters": verdict.reporters.len(),
                "first_ms": age_millis(verdict.span.0.age(now)),
                "last_ms": age_millis(verdict.span.1.age(now)),
                "was_sound": verdict.was_sound,
                "only_with": companions.collect::<Vec<String>>(),
            }),
        );
    }
}

fn age_millis(age: Duration) -> u64 {
    age.as_millis() as u64
}

/// Returns why no connection to the address can be used, or `None` if one can.
async fn find_problem(address: SocketAddr) -> Option<String> {
    let connecting = TcpStream::connect(address);
    let mut stream = match tokio::time::timeout(CONNECT_LIMIT, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Some(error.to_string()),
        Err(_) => return Some("connection not established in time".to_owned()),
    };
    match tokio::time::timeout(OPEN_TIME, stream.read_u8()).await {
        Ok(Ok(_)) | Err(_) => None,
        Ok(Err(error)) => Some(error.to_string()),
    }
}
