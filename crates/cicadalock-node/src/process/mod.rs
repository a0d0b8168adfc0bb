//! Event log, errors and sockets of gateway and desk processes.

mod logged_run;
mod process_error;
mod socket_timeouts;

pub(crate) use logged_run::run_logged;
pub use process_error::ProcessError;
pub(crate) use process_error::bind;
pub(crate) use socket_timeouts::SocketTimeouts;
