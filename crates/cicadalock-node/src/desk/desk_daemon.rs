use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use cicadalock_core::collect::SortedMap;
use cicadalock_core::desk::{DeskAction, DeskMachine};
use cicadalock_core::id::LinkId;
use cicadalock_core::message::DeskMessage;
use cicadalock_core::time::ClockTime;
use futures_util::{SinkExt, StreamExt};
use serde_json::json;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, LocalSet};
use tokio_util::codec::Framed;

use super::desk_codec::{DeskCodec, LINK_TIMEOUTS};
use super::desk_settings::DeskSettings;
use crate::clock::ProcessClock;
use crate::events::EventLog;
use crate::gateway::GatewayDialect;
use crate::process::{ProcessError, bind, run_logged};

/// Number of messages queued for one router; a router whose queue is full is disconnected.
const OUTBOX_CAPACITY: usize = 1_024;

/// Delay before the next `accept` after one that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// State shared by all tasks of the desk's runtime.
struct DeskShared {
    machine: RefCell<DeskMachine>,
    links: RefCell<SortedMap<LinkId, RouterLink>>,
    log: EventLog,
    clock: ProcessClock,
    wake: Notify,
    next_link: Cell<u64>,
}

struct RouterLink {
    router: String,
    outbox: mpsc::Sender<DeskMessage>,
    task: Option<AbortHandle>,
}

/// Runs the desk of one endpoint until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the settings are invalid, the address cannot be bound or a thread cannot be started.
pub fn run_desk<D: GatewayDialect>() -> Result<(), ProcessError> {
    let settings = D::load_desk_settings().map_err(ProcessError::settings)?;
    run_logged("desk", &settings.host, |log| run(&settings, log))
}

fn run(settings: &DeskSettings, log: EventLog) -> Result<(), ProcessError> {
    let listener = bind(settings.listen)?;
    listener.set_nonblocking(true)?;
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let handle = signals.handle();
    let (stop, stopped) = flume::bounded(1);
    let signal_thread = std::thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            // SIGHUP is ignored: the settings hold only addresses, which change with a restart.
            let mut signals = signals.forever().filter(|signal| *signal != SIGHUP);
            // Sending fails if the runtime has already ended.
            let _ = signals.next().map(|_| stop.send(()));
        })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let shared = Rc::new(DeskShared {
        machine: RefCell::new(DeskMachine::new()),
        links: RefCell::new(SortedMap::new()),
        log,
        clock: ProcessClock::start(),
        wake: Notify::new(),
        next_link: Cell::new(1),
    });
    let local = LocalSet::new();
    let result = runtime.block_on(local.run_until(async {
        let listener = TcpListener::from_std(listener)?;
        tokio::select! {
            () = accept_all(&shared, listener) => {}
            () = run_timer(&shared) => {}
            _ = stopped.recv_async() => {}
        }
        Ok::<(), io::Error>(())
    }));
    drop(local);
    handle.close();
    // A panic of the thread is ignored; it has ended in any case.
    let _ = signal_thread.join();
    Ok(result?)
}

async fn accept_all(shared: &Rc<DeskShared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let link = LinkId::new(shared.next_link.get());
                shared.next_link.set(link.get() + 1);
                let (outbox, outgoing) = mpsc::channel(OUTBOX_CAPACITY);
                let router_link = RouterLink {
                    router: peer.ip().to_string(),
                    outbox,
                    task: None,
                };
                shared.links.borrow_mut().insert(link, router_link);
                let task = tokio::task::spawn_local(serve_router(
                    Rc::clone(shared),
                    stream,
                    link,
                    outgoing,
                ));
                if let Some(router_link) = shared.links.borrow_mut().get_mut(&link) {
                    router_link.task = Some(task.abort_handle());
                }
            }
            Err(error) => {
                shared
                    .log
                    .write("accept-failed", json!({"problem": error.to_string()}));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Exchanges messages with one router until the connection ends.
async fn serve_router(
    shared: Rc<DeskShared>,
    stream: TcpStream,
    link: LinkId,
    mut outgoing: mpsc::Receiver<DeskMessage>,
) {
    LINK_TIMEOUTS.apply(&stream);
    let mut frames = Framed::new(stream, DeskCodec::new());
    let problem = loop {
        tokio::select! {
            frame = frames.next() => match frame {
                Some(Ok(Some(message))) => shared.receive(link, message),
                // A newer router may send message types that this version does not know.
                Some(Ok(None)) => {}
                Some(Err(error)) => break Some(error.to_string()),
                None => break None,
            },
            message = outgoing.recv() => {
                let Some(message) = message else {
                    break Some("closed by the desk".to_owned());
                };
                if let Err(error) = send_batch(&mut frames, message, &mut outgoing).await {
                    break Some(error.to_string());
                }
            }
        }
    };
    shared.handle_disconnect(link, problem);
}

/// Sends a message and all those queued behind it with a single flush.
async fn send_batch(
    frames: &mut Framed<TcpStream, DeskCodec>,
    first: DeskMessage,
    outgoing: &mut mpsc::Receiver<DeskMessage>,
) -> io::Result<()> {
    frames.feed(first).await?;
    while let Ok(message) = outgoing.try_recv() {
        frames.feed(message).await?;
    }
    frames.flush().await
}

async fn run_timer(shared: &Rc<DeskShared>) {
    loop {
        let due = shared.machine.borrow().next_wake();
        match due {
            Some(due) => {
                let pause = due.since(shared.now()).max(Duration::from_millis(1));
                tokio::select! {
                    () = tokio::time::sleep(pause) => shared.drive(),
                    // The next deadline may be earlier now.
                    () = shared.wake.notified() => {}
                }
            }
            None => shared.wake.notified().await,
        }
    }
}

impl DeskShared {
    fn now(&self) -> ClockTime {
        self.clock.now()
    }

    fn receive(&self, link: LinkId, message: DeskMessage) {
        if let DeskMessage::Hello(hello) = &message {
            let mut links = self.links.borrow_mut();
            if let Some(router_link) = links.get_mut(&link) {
                router_link.router.clone_from(&hello.host);
            }
            self.log.write(
                "router-connected",
                json!({"router": hello.host, "runs": hello.runs.len(), "slots": hello.slots, "memory": hello.memory}),
            );
        }
        let now = self.now();
        let invalid = {
            let mut machine = self.machine.borrow_mut();
            let before = machine.invalid_evidence();
            machine.receive(link, message, now);
            machine.invalid_evidence() - before
        };
        if invalid > 0 {
            self.log
                .write("evidence-invalid", json!({"entries": invalid}));
        }
        self.drive();
    }

    fn handle_disconnect(&self, link: LinkId, problem: Option<String>) {
        let router_link = self.links.borrow_mut().remove(&link);
        if let Some(router_link) = router_link {
            self.log.write(
                "router-lost",
                json!({"router": router_link.router, "problem": problem}),
            );
        }
        let now = self.now();
        self.machine.borrow_mut().link_down(link, now);
        self.drive();
    }

    /// Runs the machine's pending actions and notifies [`run_timer`] of changed deadlines.
    fn drive(&self) {
        let now = self.now();
        let actions = self.machine.borrow_mut().take_actions(now);
        for action in actions {
            match action {
                DeskAction::Send(link, message) => {
                    self.log_decision(link, &message, now);
                    let is_sent =
                        self.links.borrow().get(&link).is_some_and(|router_link| {
                            router_link.outbox.try_send(message).is_ok()
                        });
                    if !is_sent {
                        self.close(link);
                    }
                }
                DeskAction::Close(link) => self.close(link),
            }
        }
        self.wake.notify_one();
    }

    fn close(&self, link: LinkId) {
        let router_link = self.links.borrow_mut().remove(&link);
        if let Some(router_link) = router_link {
            self.log.write(
                "router-lost",
                json!({"router": router_link.router, "problem": "router silent or its outbox full"}),
            );
            if let Some(task) = router_link.task {
                task.abort();
            }
        }
    }

    fn log_decision(&self, link: LinkId, message: &DeskMessage, now: ClockTime) {
        let (event, number, retry_after_ms) = match message {
            DeskMessage::Grant(notice) => ("grant", notice.request, None),
            DeskMessage::Refuse(frame) => ("refuse", frame.request, Some(frame.come_back_ms)),
            _ => return,
        };
        let state = self.machine.borrow().desk().state(now);
        let links = self.links.borrow();
        let router = links
            .get(&link)
            .map(|router_link| router_link.router.as_str());
        self.log.write(
            event,
            json!({
                "router": router,
                "number": number,
                "come_back_ms": retry_after_ms,
                "wait_ms": state.wait.as_millis() as u64,
                "running": state.running,
                "prefill_per_ms": state.rate.tokens_per_milli() as u64,
            }),
        );
    }
}
