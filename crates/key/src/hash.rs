//! Hashes that are the same in every process and release.

use crate::Shard;

/// Returns the shard to which `key` belongs, out of `count` shards.
///
/// The result must be the same in every process and release: two entries that disagree would route
/// one key to two targets. Multiplication and shift reduce the hash to the range, which distributes
/// keys evenly also for counts that are not a power of two. A `count` of zero is treated as one.
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

/// A streaming hash (XXH3, 64 bits) that is the same in every process and release.
#[derive(Default)]
pub struct Digest(xxhash_rust::xxh3::Xxh3Default);

impl Digest {
    /// Appends bytes to the input.
    pub fn add(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the hash of all bytes added so far.
    #[must_use]
    pub fn finish(&self) -> u64 {
        self.0.digest()
    }
}

/// Returns the weight of `candidate` for `subject` in rendezvous hashing.
///
/// Every process chooses the candidate with the highest weight, and thus the same one, without
/// communication. When a candidate is added or removed, only the subjects that it gains or loses
/// change their candidate.
#[must_use]
pub fn rendezvous_weight(subject: &str, candidate: &str) -> u64 {
    let mut digest = Digest::default();
    digest.add(subject.as_bytes());
    digest.add(&[0]);
    digest.add(candidate.as_bytes());
    digest.finish()
}
