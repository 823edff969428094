//! Headers of requests and answers that pass through the entry.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};

/// Headers that concern a single connection (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the headers that concern a single connection, including those that `Connection` names.
pub(crate) fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

/// Prepares a request's headers for an upstream that gets the complete body with its length.
pub(crate) fn prepare_request(headers: &mut HeaderMap, has_body: bool, length: usize) {
    strip_connection(headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
    if has_body {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
}
