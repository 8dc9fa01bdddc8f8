//! Hash functions whose results are the same on all hosts and in all releases.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes bytes. The result is part of the protocol between nodes.
pub fn of(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hashes bytes with an earlier hash as the seed, for the hash of a sequence or a pair.
pub fn chain(seed: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Returns the owner of `subject`: the member with the highest score (rendezvous
/// hashing, Thaler and Ravishankar 1996). When a member is removed, only the subjects
/// that it owned get another owner.
pub fn owner<'a, T: AsRef<str> + ?Sized + 'a>(
    subject: &str,
    members: impl Iterator<Item = &'a T>,
) -> Option<&'a T> {
    let seed = of(subject.as_bytes());
    members.max_by_key(|member| {
        let name = (*member).as_ref();
        (chain(seed, name.as_bytes()), name)
    })
}
