use std::rc::Rc;

use cicadalock_core::desk::RequestRate;
use serde_json::json;

use super::dialect::AnswerFields;
use super::shared::{EndpointAssignment, GatewayShared};

impl GatewayShared {
    /// Records and logs the limit that an endpoint named in an answer, or that it named none.
    pub(super) fn record_limit(
        self: &Rc<Self>,
        assignment: &EndpointAssignment,
        fields: &AnswerFields,
    ) {
        let endpoint = &assignment.endpoint;
        let rate = match &fields.limit {
            Some(Ok(rate)) => Some(*rate),
            None => None,
            Some(Err(error)) => {
                self.log.write(
                    "endpoint-limit-invalid",
                    json!({"endpoint": endpoint.as_str(), "problem": error.to_string()}),
                );
                return;
            }
        };
        let before = self.machine.borrow_mut().record_limit(
            endpoint,
            rate,
            assignment.started_at,
            self.now(),
        );
        let Some(before) = before else {
            return;
        };
        let event = rate.map_or("endpoint-limit-ended", |_| "endpoint-limit");
        self.log.write(
            event,
            json!({
                "endpoint": endpoint.as_str(),
                "per_second": rate.map(RequestRate::get),
                "before": before.map(RequestRate::get),
            }),
        );
        self.drive();
    }
}
