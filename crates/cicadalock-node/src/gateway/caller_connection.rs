use std::error::Error;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, ready};

use hyper::body::{Body, Incoming};
use hyper::rt::{Read, Write};
use hyper::server::conn::http1::Connection;
use hyper::service::HttpService;
use serde_json::json;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use super::caller_activity::{CallerActivity, CloseDue};
use super::gateway_metrics::ClockLabels;
use super::shared::GatewayShared;

/// Serves a caller's connection until it ends or its limits close it.
///
/// Once `drain` is cancelled, the connection closes after the request of which bytes have arrived, or at
/// once. Once `end` is cancelled as well, the connection is dropped after its last answer.
pub(super) async fn serve_until_closed<I, S, B>(
    shared: &Rc<GatewayShared>,
    connection: Connection<I, S>,
    activity: &CallerActivity,
    drain: &CancellationToken,
    end: &CancellationToken,
) where
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    I: Read + Write + Unpin,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut connection = pin!(connection);
    let mut armed_for = Instant::now();
    let mut timer = pin!(sleep_until(armed_for));
    let (mut drain, mut end) = (pin!(drain.cancelled()), pin!(end.cancelled()));
    let mut is_draining = false;
    let mut is_last_request = false;
    let closed = poll_fn(|context| {
        if !is_draining && drain.as_mut().poll(context).is_ready() {
            is_draining = true;
            activity.drain();
        }
        let is_over = is_draining && end.as_mut().poll(context).is_ready();
        loop {
            // After a connection error the caller is gone, so there is nobody to report it to.
            if connection.as_mut().poll(context).is_ready() {
                return Poll::Ready(None);
            }
            if !is_last_request && activity.runs_last_request() {
                // hyper closes the connection after the answer.
                is_last_request = true;
                connection.as_mut().graceful_shutdown();
                continue;
            }
            if is_over {
                // The poll has written the last answer.
                return Poll::Ready(None);
            }
            if is_last_request && !activity.is_closing() {
                return Poll::Pending;
            }
            let has_read_kernel = activity.read_kernel(false);
            let Some(due) = activity.close_due(&shared.caller_limits) else {
                return Poll::Pending;
            };
            if armed_for != due.at {
                armed_for = due.at;
                timer.as_mut().reset(due.at);
            }
            ready!(timer.as_mut().poll(context));
            if has_read_kernel {
                return Poll::Ready(Some(due));
            }
            activity.read_kernel(true);
        }
    });
    if let Some(due) = closed.await {
        report_close(shared, activity, due);
    }
}

/// Counts a close, and logs it if bytes of a request had arrived.
fn report_close(shared: &GatewayShared, activity: &CallerActivity, due: CloseDue) {
    let clock = due.clock.name();
    let labels = ClockLabels { clock };
    shared.metrics.closes.get_or_create(&labels).inc();
    if !activity.has_begun_head() {
        return;
    }
    let config = shared.config.borrow();
    shared.log.write(
        "connection-closed",
        json!({
            "clock": clock,
            "limit_ms": due.limit.as_millis() as u64,
            "idle_ms": activity.idle_time().as_millis() as u64,
            "config": config.as_ref().map(|config| config.version()),
        }),
    );
}
