//! Tests of the token meter for completions.

use cicadalock_node::endpoint::TokenMeter;
use yare::parameterized;

#[parameterized(
    counted_events = { "data: {}\n\ndata: {}\n\ndata: [DONE]\n\n", 2, true },
    reported_usage = { "data: {}\n\ndata: {\"usage\":{\"total_tokens\":40}}\n\ndata: [DONE]\n\n", 40, true },
    implausible_usage = { "data: {\"usage\":{\"total_tokens\":9000000000000000000}}\n\n", 1, false },
    negative_usage = { "data: {\"usage\":{\"total_tokens\":-5}}\n\n", 1, false },
    comments_and_other_fields = { ": hi\nevent: x\ndata: {}\n\n", 1, false },
    empty_stream = { "", 0, false },
)]
fn a_stream_is_metered_the_same_with_any_chunk_size(stream: &str, tokens: i64, complete: bool) {
    for size in [1, 2, 7, 1_000] {
        let mut meter = TokenMeter::for_stream();
        stream
            .as_bytes()
            .chunks(size)
            .for_each(|chunk| meter.feed(chunk));
        meter.finish();
        assert_eq!(
            (meter.tokens(), meter.is_complete()),
            (tokens, complete),
            "chunks of {size} bytes"
        );
    }
}

#[test]
fn a_buffered_answer_reports_its_usage() {
    let mut meter = TokenMeter::for_buffered();
    meter.feed(b"{\"choices\":[],\"usage\":{\"total");
    meter.feed(b"_tokens\":17}}");
    meter.finish();
    assert_eq!(meter.tokens(), 17);
}
