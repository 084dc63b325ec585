//! What has to change in the headers of a message that is forwarded.

use http::{HeaderMap, HeaderName, StatusCode, header};

/// The headers that apply to a single connection, besides those that `Connection` names.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Returns true if a status can end an exchange: it is one of HTTP (100 to 599, RFC 9110, section
/// 15), and not informational. No request asks to switch protocols, so a response that does so is
/// no answer either; the client skips the other informational ones.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Removes the headers that apply to a single connection (RFC 9110, section 7.6.1).
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named_by_connection: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named_by_connection.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
