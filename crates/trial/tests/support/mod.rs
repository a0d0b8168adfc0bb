//! Helpers of the tests that run a fleet of real processes.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use trial::fleet::{FleetBuilder, RunningFleet, ServicePlan};
use trial::load::{CallAnswer, CallPlan, CallerGroup, LoadStyle, call};

/// Path of the `trial` binary, which runs the routers, the sidecars and the stand-ins.
pub fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_trial"))
}

/// Returns a builder of a fleet with a plain service whose bookings are not idempotent.
pub fn desk_fleet(replicas: usize, routers: usize) -> FleetBuilder {
    FleetBuilder::new(program())
        .routers(routers)
        .zones(&["jylland", "fyn", "sjaelland"])
        .service(ServicePlan {
            name: "udlaan".into(),
            is_model: false,
            replicas,
            slots: 4,
            unit_time: Duration::from_millis(10),
        })
        .kind(
            "name = \"booking\"\nservice = \"udlaan\"\npath = \"/bookings\"\nidempotent = false\n\
             queue_timeout = \"6s\"\ntimeout = \"12s\"",
        )
        .kind(
            "name = \"lookup\"\nservice = \"udlaan\"\npath = \"/lookup\"\nidempotent = true\n\
             queue_timeout = \"6s\"\ntimeout = \"12s\"",
        )
        .customer("skole", 1)
        .customer("kor", 1)
}

/// Returns a builder of a fleet with a model that generates one token every `unit_time`.
pub fn model_fleet(replicas: usize, unit_time: Duration) -> FleetBuilder {
    FleetBuilder::new(program())
        .zones(&["jylland", "fyn", "sjaelland"])
        .service(ServicePlan {
            name: "raadgiver".into(),
            is_model: true,
            replicas,
            slots: 4,
            unit_time,
        })
        .kind(
            "name = \"plan\"\nservice = \"raadgiver\"\npath = \"/v1/plan\"\nidempotent = true\n\
             queue_timeout = \"6s\"\ntimeout = \"20s\"",
        )
        .customer("skole", 1)
        .customer("kor", 1)
}

/// Waits until every sidecar runs requests whose idempotency keys are minted now.
pub fn wait_until_keys_fresh(fleet: &RunningFleet) {
    assert!(
        fleet.wait_for_fresh_keys(Duration::from_secs(20)),
        "keys minted now are not fresh"
    );
}

/// Returns a group of callers that send `rate` bookings a second.
pub fn booking_group(customer: &str, rate: f64, has_key: bool) -> CallerGroup {
    CallerGroup {
        customer: customer.into(),
        kind: "booking".into(),
        path: "/bookings".into(),
        is_model: false,
        cost: (10, 60),
        style: LoadStyle::Open(rate),
        skew_percent: 0,
        span: (Duration::ZERO, Duration::from_secs(60)),
        has_key,
        pinned: None,
    }
}

/// Returns a booking, with an idempotency key if `key` is given.
pub fn booking(key: Option<&str>, body: &str) -> CallPlan {
    let headers = key.map(|key| ("idempotency-key".to_owned(), key.to_owned()));
    CallPlan {
        path: "/bookings".into(),
        token: "token-skole".into(),
        body: body.into(),
        headers: headers.into_iter().collect(),
    }
}

/// Adds a header field to the request.
pub fn with_header(mut plan: CallPlan, name: &str, value: &str) -> CallPlan {
    plan.headers.push((name.into(), value.into()));
    plan
}

/// Returns a streaming request for a completion of `tokens` tokens.
pub fn completion(tokens: u32) -> CallPlan {
    CallPlan {
        path: "/v1/plan".into(),
        token: "token-skole".into(),
        body: format!("{{\"prompt\":\"p\",\"max_tokens\":{tokens},\"stream\":true}}"),
        headers: Vec::new(),
    }
}

/// Returns an idempotency key minted now.
pub fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Sends a request and waits for the end of the answer.
pub fn send(router: SocketAddr, plan: &CallPlan) -> CallAnswer {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime
        .expect("the runtime is created")
        .block_on(call(router, &mut None, plan))
}

/// Sends a request on a new thread.
pub fn send_in_background(
    router: SocketAddr,
    plan: CallPlan,
) -> std::thread::JoinHandle<CallAnswer> {
    std::thread::spawn(move || send(router, &plan))
}

/// Waits until `condition` holds and returns whether it did within `limit`.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Returns the number of effects with `body` at the endpoints of `service`.
pub fn count_effects(fleet: &RunningFleet, service: &str, body: &str) -> usize {
    fleet
        .effects(service)
        .iter()
        .filter(|effect| effect.body == body)
        .count()
}

/// Sends raw bytes and reads until the connection closes or no bytes arrive for `limit`.
pub fn send_raw(address: SocketAddr, bytes: &[u8], limit: Duration) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the connection is accepted");
    stream
        .set_read_timeout(Some(limit))
        .expect("the read timeout is valid");
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer
}
