//! The meter of completions.

use cicadalock_node::endpoint::TokenMeter;
use yare::parameterized;

#[parameterized(
    counted_events = { "data: {}\n\ndata: {}\n\ndata: [DONE]\n\n", 2, true },
    told_usage = { "data: {}\n\ndata: {\"usage\":{\"total_tokens\":40}}\n\ndata: [DONE]\n\n", 40, true },
    usage_beyond_belief = { "data: {\"usage\":{\"total_tokens\":9000000000000000000}}\n\n", 1, false },
    negative_usage = { "data: {\"usage\":{\"total_tokens\":-5}}\n\n", 1, false },
    comments_and_other_fields = { ": hi\nevent: x\ndata: {}\n\n", 1, false },
    nothing = { "", 0, false },
)]
fn a_stream_is_metered_in_pieces_of_any_size(stream: &str, tokens: i64, complete: bool) {
    for size in [1, 2, 7, 1_000] {
        let mut meter = TokenMeter::for_stream();
        stream
            .as_bytes()
            .chunks(size)
            .for_each(|piece| meter.feed(piece));
        meter.finish();
        assert_eq!(
            (meter.tokens(), meter.is_complete()),
            (tokens, complete),
            "pieces of {size}"
        );
    }
}

#[test]
fn an_answer_in_one_piece_tells_its_usage() {
    let mut meter = TokenMeter::for_whole();
    meter.feed(b"{\"choices\":[],\"usage\":{\"total");
    meter.feed(b"_tokens\":17}}");
    meter.finish();
    assert_eq!(meter.tokens(), 17);
}
