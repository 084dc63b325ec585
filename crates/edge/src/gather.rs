//! Bodies that are gathered before they are passed on, and the memory for them.
//!
//! A gathered body can still be replaced by another attempt's. Each one is bounded, but a target in
//! trouble may answer many requests at once with bytes that never end, and they would add up to more
//! than a small machine has. So all of them draw on the process's budget ([`wire::Limiter`]), and a
//! body for which there is no room is passed on as it arrives. What a caller has not read yet counts
//! until it has.

use {
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::{Body as _, Incoming},
    wire::Reservation,
};

/// Bytes that keep their memory reserved until nobody uses them any more.
struct Gathered {
    bytes: BytesMut,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Gathered {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body, or the beginning of one.
pub(crate) enum Read {
    Whole(Bytes),
    /// What was read of a body that is longer than the limit or the memory left, and the rest.
    Longer(Bytes, Incoming),
}

/// Reads a body up to its end, until it is longer than `max_bytes`, or until there is no memory left
/// for more of it.
pub(crate) async fn read(
    mut incoming: Incoming,
    max_bytes: usize,
    mut reservation: Reservation,
) -> Result<Read, hyper::Error> {
    let expected_bytes = incoming.size_hint().lower().min(max_bytes as u64);
    let mut bytes = BytesMut::with_capacity(expected_bytes as usize);
    let mut is_whole = true;
    while let Some(frame) = incoming.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > max_bytes || !reservation.grow_to(bytes.capacity()) {
            is_whole = false;
            break;
        }
    }
    let bytes = Bytes::from_owner(Gathered { bytes, _reservation: reservation });
    Ok(if is_whole { Read::Whole(bytes) } else { Read::Longer(bytes, incoming) })
}
