use std::io;

use cicadalock_core::id::HostName;
use serde_json::json;

use super::ProcessError;
use crate::events::EventLog;

/// Runs a process with an event log on standard output, and logs its start and end.
pub(crate) fn run_logged(
    role: &str,
    host: &HostName,
    run: impl FnOnce(EventLog) -> Result<(), ProcessError>,
) -> Result<(), ProcessError> {
    let (log, writer) = EventLog::start(io::stdout())?;
    let version = env!("CARGO_PKG_VERSION");
    log.write(
        "start-process",
        json!({"role": role, "host": host.as_str(), "version": version}),
    );
    let result = run(log.clone());
    let error = result.as_ref().err().map(ToString::to_string);
    log.write("stop-process", json!({"problem": error}));
    drop(log);
    writer.join();
    result
}
