use cicadalock_core::id::{CustomerName, RequestDigest};
use hyper::{Method, Uri};

/// Computes the digest by which a request is known if its caller sends it again.
///
/// Header fields are left out, as they differ from attempt to attempt. A customer cannot make a request
/// whose digest is that of another customer's.
pub(super) fn request_digest(
    customer: Option<&CustomerName>,
    method: &Method,
    uri: &Uri,
    body: &[u8],
) -> RequestDigest {
    let mut hasher = blake3::Hasher::new();
    let target = uri.path_and_query().map_or("", |target| target.as_str());
    let customer = customer.map_or("", CustomerName::as_str);
    for field in [customer, method.as_str(), target] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field.as_bytes());
    }
    hasher.update(body);
    let mut bytes = [0; RequestDigest::BYTES];
    hasher.finalize_xof().fill(&mut bytes);
    RequestDigest::new(bytes)
}
