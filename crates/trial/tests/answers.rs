//! Tests with real processes: a caller receives its own answer completely, or can tell that it is
//! incomplete.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use support::{
    booking, completion, desk_fleet, model_fleet, send, send_raw, wait_for, with_header,
};
use trial::fleet::get_json;
use trial::load::CallVerdict;
use yare::parameterized;

#[test]
fn a_streamed_completion_arrives_token_by_token() {
    let fleet = model_fleet(2, Duration::from_millis(40))
        .start()
        .expect("the fleet starts");
    let answer = send(fleet.routers[0].callers, &completion(25));
    assert_eq!(answer.verdict, CallVerdict::Complete);
    let first = answer.first_byte.expect("the answer has a body");
    assert!(
        answer.total > first + Duration::from_millis(500),
        "the stream was buffered"
    );
    assert!(answer.body.ends_with(b"data: [DONE]\n\n"));
}

#[parameterized(
    closed_midway = { "close" },
    without_done_event = { "no-done" },
)]
fn a_stream_that_stops_midway_is_visibly_incomplete(fault: &str) {
    let fleet = model_fleet(1, Duration::from_millis(5))
        .start()
        .expect("the fleet starts");
    let plan = with_header(completion(20), "x-standin-fault", fault);
    assert_eq!(
        send(fleet.routers[0].callers, &plan).verdict,
        CallVerdict::Broken
    );
    assert_eq!(
        send(fleet.routers[0].callers, &completion(20)).verdict,
        CallVerdict::Complete
    );
}

#[parameterized(
    with_a_short_length = { "short-length" },
    chunked_without_last_chunk = { "no-end" },
)]
fn an_answer_that_stops_midway_is_visibly_incomplete(fault: &str) {
    let fleet = desk_fleet(1, 1).start().expect("the fleet starts");
    let plan = with_header(booking(None, "recorder"), "x-standin-fault", fault);
    let answer = send(fleet.routers[0].callers, &plan);
    assert_ne!(answer.verdict, CallVerdict::Complete);
    assert_ne!(answer.verdict, CallVerdict::NotRun);
}

#[test]
fn callers_on_reused_connections_get_their_own_answers() {
    let fleet = desk_fleet(2, 1).start().expect("the fleet starts");
    let router = fleet.routers[0].callers;
    let callers = (0..8).map(|caller| {
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            runtime.expect("the runtime is created").block_on(async {
                let mut connection = None;
                for number in 0..20 {
                    let body = format!("own {caller}-{number}");
                    let plan = booking(None, &body);
                    let answer = trial::load::call(router, &mut connection, &plan).await;
                    assert_eq!(answer.verdict, CallVerdict::Complete);
                    assert!(String::from_utf8_lossy(&answer.body).contains(&format!("\"{body}\"")));
                }
            });
        })
    });
    callers
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|caller| caller.join().expect("the caller thread does not panic"));
}

#[test]
fn a_disconnect_of_the_caller_cancels_the_work_at_the_endpoint() {
    let fleet = model_fleet(1, Duration::from_millis(50))
        .start()
        .expect("the fleet starts");
    let plan = completion(1_000);
    let mut stream =
        TcpStream::connect(fleet.routers[0].callers).expect("the connection is accepted");
    let head = format!(
        "POST /v1/plan HTTP/1.1\r\nhost: x\r\nauthorization: Bearer token-skole\r\ncontent-length: {}\r\n\r\n{}",
        plan.body.len(),
        plan.body
    );
    stream
        .write_all(head.as_bytes())
        .expect("the request is sent");
    let mut bytes = [0; 400];
    stream.read_exact(&mut bytes).expect("the answer begins");
    drop(stream);
    let engine = fleet.endpoints[0].address;
    let is_idle = || {
        get_json::<serde_json::Value>(engine, "/state").is_some_and(|state| state["active"] == 0)
    };
    assert!(
        wait_for(Duration::from_secs(3), is_idle),
        "the engine still generates tokens"
    );
}

#[test]
fn a_waiting_request_whose_caller_disconnects_is_not_run() {
    let fleet = desk_fleet(1, 1).start().expect("the fleet starts");
    let router = fleet.routers[0].callers;
    let busy: Vec<_> = (0..6)
        .map(|number| {
            let plan = booking(None, &format!("busy {number}"));
            support::send_in_background(router, with_header(plan, "x-standin-ms", "1200"))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    let mut stream = TcpStream::connect(router).expect("the connection is accepted");
    let request = "POST /bookings HTTP/1.1\r\nhost: x\r\nauthorization: Bearer token-skole\r\n\
                   content-length: 4\r\n\r\ngone";
    stream
        .write_all(request.as_bytes())
        .expect("the request is sent");
    std::thread::sleep(Duration::from_millis(200));
    drop(stream);
    busy.into_iter().for_each(|caller| {
        caller.join().expect("the caller thread does not panic");
    });
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(support::count_effects(&fleet, "udlaan", "gone"), 0);
}

#[test]
fn invalid_requests_get_clear_errors_and_do_not_affect_other_callers() {
    let fleet = desk_fleet(1, 1).start().expect("the fleet starts");
    let router = fleet.routers[0].callers;
    let limit = Duration::from_secs(2);
    let status = |bytes: &[u8]| {
        let answer = send_raw(router, bytes, limit);
        String::from_utf8_lossy(&answer)
            .get(9..12)
            .unwrap_or("---")
            .to_owned()
    };
    let close = "connection: close\r\nhost: x\r\n";
    let known = "authorization: Bearer token-skole\r\n";
    let cases: [(String, &str); 6] = [
        ("rubbish\r\n\r\n".into(), "400"),
        (format!("GET /bookings HTTP/1.1\r\n{close}\r\n"), "401"),
        (
            format!("GET /bookings HTTP/1.1\r\n{close}authorization: Bearer no\r\n\r\n"),
            "401",
        ),
        (
            format!("GET /nowhere HTTP/1.1\r\n{close}{known}\r\n"),
            "404",
        ),
        (
            format!("POST /bookings HTTP/1.1\r\n{close}{known}content-length: 9999999\r\n\r\n"),
            "413",
        ),
        (
            format!("POST /bookings HTTP/1.1\r\n{close}{known}cicadalock-timeout-ms: x\r\n\r\n"),
            "400",
        ),
    ];
    for (bytes, expected) in cases {
        assert_eq!(status(bytes.as_bytes()), expected, "{bytes}");
    }
    // Incomplete request heads occupy connections but do not delay other callers.
    let slow: Vec<TcpStream> = (0..50)
        .map(|_| {
            let mut stream = TcpStream::connect(router).expect("the connection is accepted");
            stream
                .write_all(b"POST /book")
                .expect("a part of the request head is sent");
            stream
        })
        .collect();
    let started = Instant::now();
    assert_eq!(
        send(router, &booking(None, "quick")).verdict,
        CallVerdict::Complete
    );
    assert!(started.elapsed() < Duration::from_secs(2));
    drop(slow);
}

#[test]
fn a_customer_over_its_queue_limit_is_refused_at_once_and_others_are_served() {
    let fleet = desk_fleet(1, 1)
        .limits("queue_per_kind = 4")
        .start()
        .expect("the fleet starts");
    let router = fleet.routers[0].callers;
    let flood: Vec<_> = (0..30)
        .map(|number| {
            let plan = with_header(
                booking(None, &format!("flood {number}")),
                "x-standin-ms",
                "200",
            );
            support::send_in_background(router, plan)
        })
        .collect();
    std::thread::sleep(Duration::from_millis(100));
    let mut other = booking(None, "other");
    other.token = "token-kor".into();
    assert_eq!(send(router, &other).verdict, CallVerdict::Complete);
    let answers: Vec<_> = flood
        .into_iter()
        .map(|caller| caller.join().expect("the caller thread does not panic"))
        .collect();
    let refused = answers.iter().filter(|answer| answer.status == 429).count();
    assert!(refused > 10, "only {refused} of 30 were refused");
    let effects = fleet.effects("udlaan");
    let complete = answers
        .iter()
        .filter(|answer| answer.verdict == CallVerdict::Complete)
        .count();
    assert_eq!(effects.len(), complete + 1);
}

#[test]
fn disconnecting_callers_do_not_mark_their_endpoint_as_failing() {
    let fleet = model_fleet(1, Duration::from_millis(20))
        .start()
        .expect("the fleet starts");
    for number in 0..8 {
        let token = if number % 2 == 0 {
            "token-skole"
        } else {
            "token-kor"
        };
        let body = completion(1_000).body;
        let head = format!(
            "POST /v1/plan HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut stream =
            TcpStream::connect(fleet.routers[0].callers).expect("the connection is accepted");
        stream
            .write_all(head.as_bytes())
            .expect("the request is sent");
        let mut bytes = [0; 200];
        stream.read_exact(&mut bytes).expect("the answer begins");
    }
    std::thread::sleep(Duration::from_millis(300));
    let status = fleet
        .status(fleet.sidecars[0].admin)
        .expect("the sidecar reports its status");
    assert_eq!(status["role"]["is_failing"], false);
}

#[test]
fn a_request_leaves_a_span_for_each_hop_in_the_callers_trace() {
    let collector = trial::report::TraceCollector::start().expect("the trace collector starts");
    let fleet = desk_fleet(2, 1)
        .traces(collector.address())
        .start()
        .expect("the fleet starts");
    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let header = format!("00-{trace}-00f067aa0ba902b7-01");
    let plan = with_header(booking(None, "traced"), "traceparent", &header);
    assert_eq!(
        send(fleet.routers[0].callers, &plan).verdict,
        CallVerdict::Complete
    );
    std::thread::sleep(Duration::from_millis(300));
    let spans = collector.finish();
    let own = spans.iter().filter(|span| span["trace"] == trace);
    let mut names: Vec<&str> = own.filter_map(|span| span["name"].as_str()).collect();
    names.sort_unstable();
    let hops = [
        "endpoint.call",
        "router.queue",
        "router.request",
        "sidecar.grant",
        "sidecar.stage",
    ];
    assert_eq!(names, hops);
}
