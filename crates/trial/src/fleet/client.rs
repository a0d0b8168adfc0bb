use std::net::SocketAddr;

use serde::de::DeserializeOwned;

/// Timeout of a request to a stand-in or a status port, in seconds.
const RESPONSE_TIMEOUT_S: u64 = 5;

/// Reads JSON from a path; returns `None` if the request fails or the response does not parse as
/// `T`.
#[must_use]
pub fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let url = format!("http://{address}{path}");
    let answer = minreq::get(url)
        .with_timeout(RESPONSE_TIMEOUT_S)
        .send()
        .ok()?;
    serde_json::from_slice(answer.as_bytes()).ok()
}

/// Sends `text` in a PUT request to a stand-in and returns the response body, or `None` if the
/// request fails.
#[must_use]
pub fn put_text(address: SocketAddr, path: &str, text: &str) -> Option<String> {
    let url = format!("http://{address}{path}");
    let answer = minreq::put(url)
        .with_body(text)
        .with_timeout(RESPONSE_TIMEOUT_S)
        .send()
        .ok()?;
    answer.as_str().ok().map(ToOwned::to_owned)
}
