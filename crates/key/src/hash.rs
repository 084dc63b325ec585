//! The placement of keys on shards.

use crate::Shard;

/// Returns the shard of `key` among `count` shards.
///
/// The hash must give the same answer in every process and every release, because two entries
/// that disagree route one key to two targets. The multiply-and-shift reduction keeps the spread
/// even for counts that are no power of two. A `count` of zero is treated as one.
///
/// ```
/// assert_eq!(key::shard_of(b"fold-17", 256), key::shard_of(b"fold-17", 256));
/// ```
#[must_use]
pub fn shard_of(key: &[u8], count: u32) -> Shard {
    let hash = xxhash_rust::xxh3::xxh3_64(key);
    let scaled = u128::from(hash) * u128::from(count.max(1));
    Shard::from((scaled >> u64::BITS) as u32)
}

/// A digest of a sequence of bytes that is the same in every process and release.
#[derive(Default)]
pub struct Digest(xxhash_rust::xxh3::Xxh3Default);

impl Digest {
    /// Adds bytes.
    pub fn add(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the digest of what was added.
    #[must_use]
    pub fn finish(&self) -> u64 {
        self.0.digest()
    }
}

/// Ranks `candidate` for `subject`: the candidate with the highest rank is everyone's choice.
///
/// Rendezvous hashing moves only the subjects of a candidate that comes or goes.
#[must_use]
pub fn rendezvous_weight(subject: &str, candidate: &str) -> u64 {
    let mut digest = Digest::default();
    digest.add(subject.as_bytes());
    digest.add(&[0]);
    digest.add(candidate.as_bytes());
    digest.finish()
}
