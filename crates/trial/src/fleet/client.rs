use std::net::SocketAddr;

use serde::de::DeserializeOwned;

/// Longest wait for an answer of a stand-in or a status port, in seconds.
const ANSWER_SECONDS: u64 = 5;

/// Reads JSON from a path; none if there is none.
#[must_use]
pub fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let url = format!("http://{address}{path}");
    let answer = minreq::get(url).with_timeout(ANSWER_SECONDS).send().ok()?;
    serde_json::from_slice(answer.as_bytes()).ok()
}

/// Writes a text to a path of a stand-in and returns its answer.
#[must_use]
pub fn put_text(address: SocketAddr, path: &str, text: &str) -> Option<String> {
    let url = format!("http://{address}{path}");
    let answer = minreq::put(url)
        .with_body(text)
        .with_timeout(ANSWER_SECONDS)
        .send()
        .ok()?;
    answer.as_str().ok().map(ToOwned::to_owned)
}
