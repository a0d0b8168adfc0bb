use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use cicadalock_core::collect::SortedMap;
use cicadalock_core::id::GrantId;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::call::{CallContext, EndpointCall};
use super::command::{CallCommand, EndpointCommand, WINDOW_UNITS};
use crate::clock::ProcessClock;
use crate::hub::{HubInput, SidecarInput};
use crate::metrics::ProcessMetrics;
use crate::trace::SpanSender;

/// Handle of the thread that calls the endpoint.
#[derive(Debug)]
pub struct EndpointPort {
    thread: JoinHandle<()>,
}

/// Builder of an [`EndpointPort`].
#[derive(Debug)]
pub struct EndpointBuilder {
    context: CallContext,
}

impl EndpointPort {
    /// Returns a builder of a client that calls `endpoint` and reports results to `hub`.
    #[must_use]
    pub fn builder(
        endpoint: SocketAddr,
        hub: flume::Sender<HubInput<SidecarInput>>,
        spans: SpanSender,
        clock: ProcessClock,
    ) -> EndpointBuilder {
        EndpointBuilder {
            context: CallContext {
                endpoint,
                hub,
                metrics: Arc::new(ProcessMetrics::new()),
                spans,
                clock,
            },
        }
    }

    /// Blocks until the thread has finished.
    ///
    /// The thread aborts its calls and ends once all senders of its `commands` channel are dropped.
    pub fn join(self) {
        let _ = self.thread.join();
    }
}

impl EndpointBuilder {
    /// Sets the counters to update; by default the port has its own.
    #[must_use]
    pub fn metrics(mut self, metrics: Arc<ProcessMetrics>) -> Self {
        self.context.metrics = metrics;
        self
    }

    /// Starts the thread, which receives its commands from `commands`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or its runtime cannot be created.
    pub fn start(self, commands: flume::Receiver<EndpointCommand>) -> io::Result<EndpointPort> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let context = Arc::new(self.context);
        let thread = std::thread::Builder::new()
            .name("endpoint".into())
            .spawn(move || runtime.block_on(serve(context, commands)))?;
        Ok(EndpointPort { thread })
    }
}

#[derive(Debug)]
struct CallHandle {
    abort: CancellationToken,
    window: Arc<Semaphore>,
}

async fn serve(context: Arc<CallContext>, commands: flume::Receiver<EndpointCommand>) {
    let mut calls: SortedMap<GrantId, CallHandle> = SortedMap::new();
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            command = commands.recv_async() => match command {
                Ok(EndpointCommand::Call(call)) => start_call(&context, *call, &mut calls, &mut tasks),
                Ok(EndpointCommand::Abort(grant)) => {
                    if let Some(call) = calls.get(&grant) {
                        call.abort.cancel();
                    }
                }
                Ok(EndpointCommand::Credit(grant, units)) => {
                    if let Some(call) = calls.get(&grant) {
                        call.window.add_permits(units.min(WINDOW_UNITS) as usize);
                    }
                }
                Err(_) => break,
            },
            Some(finished) = tasks.join_next() => {
                if let Ok(grant) = finished {
                    calls.remove(&grant);
                }
            }
        }
    }
    for call in calls.values() {
        call.abort.cancel();
    }
    while tasks.join_next().await.is_some() {}
}

fn start_call(
    context: &Arc<CallContext>,
    call: CallCommand,
    calls: &mut SortedMap<GrantId, CallHandle>,
    tasks: &mut JoinSet<GrantId>,
) {
    let handle = CallHandle {
        abort: CancellationToken::new(),
        window: Arc::new(Semaphore::new(WINDOW_UNITS as usize)),
    };
    let call = EndpointCall {
        context: Arc::clone(context),
        abort: handle.abort.clone(),
        window: Arc::clone(&handle.window),
        call,
    };
    calls.insert(call.call.command.grant, handle);
    tasks.spawn(call.run());
}
