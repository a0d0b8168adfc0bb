use serde_json::json;

use super::dialect::AnswerFields;
use super::shared::{EndpointAssignment, GatewayShared};

impl GatewayShared {
    /// Logs a limit that an endpoint named in an answer, and the end of one.
    pub(super) fn record_limit(&self, assignment: &EndpointAssignment, fields: &AnswerFields) {
        let endpoint = &assignment.endpoint;
        let mut limits = self.limits.borrow_mut();
        match &fields.limit {
            Some(Ok(limit)) => {
                let before = limits.insert(endpoint.clone(), *limit);
                if before != Some(*limit) {
                    self.log.write(
                        "endpoint-limit",
                        json!({
                            "endpoint": endpoint.as_str(),
                            "per_second": limit.get(),
                            "before": before.map(|before| before.get()),
                        }),
                    );
                }
            }
            Some(Err(error)) => {
                self.log.write(
                    "endpoint-limit-invalid",
                    json!({"endpoint": endpoint.as_str(), "problem": error.to_string()}),
                );
            }
            None => {
                if limits.remove(endpoint).is_some() {
                    self.log.write(
                        "endpoint-limit-ended",
                        json!({"endpoint": endpoint.as_str()}),
                    );
                }
            }
        }
    }
}
