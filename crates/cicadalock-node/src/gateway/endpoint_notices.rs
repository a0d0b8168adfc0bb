use std::rc::Rc;

use cicadalock_core::gateway::EndpointPause;
use serde_json::json;

use super::dialect::AnswerFields;
use super::shared::{EndpointAssignment, GatewayShared};

impl GatewayShared {
    /// Records and logs what an endpoint says of itself in an answer: that it leaves, or wants a pause.
    pub(super) fn record_notices(
        self: &Rc<Self>,
        assignment: &EndpointAssignment,
        fields: &AnswerFields,
    ) {
        let (endpoint, sent) = (&assignment.endpoint, assignment.started_at);
        let now = self.now();
        if fields.is_leaving
            && self
                .machine
                .borrow_mut()
                .record_leaving(endpoint, sent, now)
        {
            self.log
                .write("endpoint-leaving", json!({"endpoint": endpoint.as_str()}));
            self.drive();
        }
        let Some(pause) = &fields.pause else {
            return;
        };
        let (pause, problem) = match pause {
            Ok(pause) => (*pause, None),
            Err(error) => (EndpointPause::fallback(error), Some(error.to_string())),
        };
        let mut machine = self.machine.borrow_mut();
        let is_new = machine.record_pause(endpoint, pause, sent, now);
        drop(machine);
        if !is_new {
            return;
        }
        let event = match problem {
            Some(_) => "endpoint-pause-invalid",
            None => "endpoint-pause",
        };
        self.log.write(
            event,
            json!({
                "endpoint": endpoint.as_str(),
                "pause_ms": pause.length().as_millis() as u64,
                "problem": problem,
            }),
        );
        self.drive();
    }
}
