//! Streams of events are passed on in whole events, however their bytes are cut.

use cicadalock_node::gateway::EventCutter;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use yare::parameterized;

#[parameterized(
    one_event = { &[b"id: 1\ndata: a\n\n"], b"id: 1\ndata: a\n\n", Some("1"), 1 },
    cut_in_the_middle = { &[b"id: 1\nda", b"ta: a\n\n"], b"id: 1\ndata: a\n\n", Some("1"), 1 },
    cut_between_line_ends = { &[b"id: 1\n", b"\n"], b"id: 1\n\n", Some("1"), 1 },
    carriage_returns = { &[b"id: 1\r\n\r", b"\n"], b"id: 1\r\n\r\n", Some("1"), 1 },
    an_unfinished_event = { &[b"id: 1\n\nid: 2\nda"], b"id: 1\n\n", Some("1"), 1 },
    a_first_line_of_its_own = { &[b"version: 3\nid: 4\n\n"], b"version: 3\nid: 4\n\n", Some("4"), 1 },
    no_numbers = { &[b"data: a\n\ndata: b\n\n"], b"data: a\n\ndata: b\n\n", None, 2 },
    no_space = { &[b"id:7\n\n"], b"id:7\n\n", Some("7"), 1 },
)]
fn whole_events_are_passed_on(pieces: &[&[u8]], whole: &[u8], last: Option<&str>, count: u64) {
    let mut splitter = EventCutter::default();
    let passed: Vec<u8> = pieces
        .iter()
        .filter_map(|piece| splitter.feed(piece))
        .flat_map(|events| events.to_vec())
        .collect();
    assert_eq!(passed, whole);
    assert_eq!(splitter.last_id(), last);
    assert_eq!(splitter.events(), count);
}

#[test]
fn the_beginning_of_an_event_is_dropped_before_another_run_goes_on() {
    let mut splitter = EventCutter::default();
    splitter.feed(b"id: 1\n\nid: 2\ndata: half");
    splitter.drop_rest();
    let events = splitter.feed(b"id: 2\ndata: whole\n\n");
    assert_eq!(events.as_deref(), Some(&b"id: 2\ndata: whole\n\n"[..]));
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    })]

    /// However a stream is cut, what is passed on and what is held back make up the stream, and the
    /// cut falls after an empty line.
    #[test]
    fn no_byte_is_lost_or_doubled(
        text in "((id: [0-9]{1,3}|data: [a-c]{0,5}|x)?(\n|\r\n)){0,40}[a-z]{0,4}",
        cuts in proptest::collection::vec(1_usize..9, 0..200),
    ) {
        let mut splitter = EventCutter::default();
        let (mut passed, mut rest) = (Vec::new(), text.as_bytes());
        for cut in cuts {
            let (piece, left) = rest.split_at(cut.min(rest.len()));
            rest = left;
            if let Some(events) = splitter.feed(piece) {
                prop_assert!(events.ends_with(b"\n\n") || events.ends_with(b"\n\r\n"));
                passed.extend_from_slice(&events);
            }
        }
        if let Some(events) = splitter.feed(rest) {
            passed.extend_from_slice(&events);
        }
        passed.extend_from_slice(&splitter.take_rest());
        prop_assert_eq!(passed, text.as_bytes());
    }
}
