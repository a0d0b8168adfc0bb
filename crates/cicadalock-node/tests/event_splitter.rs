//! Tests that an event stream is split into complete events, however its bytes arrive.

use cicadalock_node::gateway::EventSplitter;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use yare::parameterized;

#[parameterized(
    one_event = { &[b"id: 1\ndata: a\n\n"], b"id: 1\ndata: a\n\n", Some("1"), 1 },
    split_within_an_event = { &[b"id: 1\nda", b"ta: a\n\n"], b"id: 1\ndata: a\n\n", Some("1"), 1 },
    split_between_line_ends = { &[b"id: 1\n", b"\n"], b"id: 1\n\n", Some("1"), 1 },
    carriage_returns = { &[b"id: 1\r\n\r", b"\n"], b"id: 1\r\n\r\n", Some("1"), 1 },
    an_unfinished_event = { &[b"id: 1\n\nid: 2\nda"], b"id: 1\n\n", Some("1"), 1 },
    an_unknown_field_first = { &[b"version: 3\nid: 4\n\n"], b"version: 3\nid: 4\n\n", Some("4"), 1 },
    no_ids = { &[b"data: a\n\ndata: b\n\n"], b"data: a\n\ndata: b\n\n", None, 2 },
    no_space_after_the_colon = { &[b"id:7\n\n"], b"id:7\n\n", Some("7"), 1 },
)]
fn complete_events_are_returned(pieces: &[&[u8]], whole: &[u8], last: Option<&str>, count: u64) {
    let mut splitter = EventSplitter::default();
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
fn a_partial_event_is_discarded_before_a_stream_is_resumed() {
    let mut splitter = EventSplitter::default();
    splitter.feed(b"id: 1\n\nid: 2\ndata: half");
    splitter.discard_partial();
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

    /// However the stream's bytes arrive, the returned and the retained bytes make up the stream,
    /// and returned bytes end with an empty line.
    #[test]
    fn no_byte_is_lost_or_duplicated(
        text in "((id: [0-9]{1,3}|data: [a-c]{0,5}|x)?(\n|\r\n)){0,40}[a-z]{0,4}",
        cuts in proptest::collection::vec(1_usize..9, 0..200),
    ) {
        let mut splitter = EventSplitter::default();
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
        passed.extend_from_slice(splitter.partial());
        prop_assert_eq!(passed, text.as_bytes());
    }
}
