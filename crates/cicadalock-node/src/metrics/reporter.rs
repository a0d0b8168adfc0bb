use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use cadence::{Counted, StatsdClient, UdpMetricSink};

use super::{Metric, ProcessMetrics};

/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The thread that sends the changes of counters to a statsd target.
#[derive(Debug)]
pub struct MetricsReporter {
    stop: flume::Sender<()>,
    thread: JoinHandle<()>,
}

impl MetricsReporter {
    /// Starts the thread; counters are named `cicadalock.ROLE.NAME`, after [`Metric::name`].
    ///
    /// # Errors
    ///
    /// Returns an error if the local UDP socket or the thread cannot be created.
    pub fn start(
        role: &str,
        target: SocketAddr,
        metrics: Arc<ProcessMetrics>,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        let sink = UdpMetricSink::from(target, socket).map_err(std::io::Error::other)?;
        let client = StatsdClient::from_sink(&format!("cicadalock.{role}"), sink);
        let (stop, stopped) = flume::bounded(1);
        let thread = std::thread::Builder::new()
            .name("metrics".into())
            .spawn(move || report(&client, &metrics, &stopped))?;
        Ok(Self { stop, thread })
    }

    /// Sends a last report, then stops the thread and joins it.
    pub fn join(self) {
        drop(self.stop);
        let _ = self.thread.join();
    }
}

fn report(client: &StatsdClient, metrics: &ProcessMetrics, stopped: &flume::Receiver<()>) {
    let mut last_values = vec![0; Metric::ALL.len()];
    loop {
        let is_stopped =
            stopped.recv_timeout(REPORT_INTERVAL) == Err(flume::RecvTimeoutError::Disconnected);
        for (metric, last) in Metric::ALL.iter().zip(&mut last_values) {
            let value = metrics.get(*metric);
            if value != *last {
                let _ = client.count(metric.name(), value.wrapping_sub(*last) as i64);
                *last = value;
            }
        }
        if is_stopped {
            return;
        }
    }
}
