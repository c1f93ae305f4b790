//! Rendezvous hashing: a change of members moves only what belonged to the changed member.

use xxhash_rust::xxh3::Xxh3;

/// Weight of a member for a key.
pub(crate) fn weight(key: &str, member: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(key.as_bytes());
    // Separates the two names, so that `a` + `bc` differs from `ab` + `c`.
    hash.update(&[0]);
    hash.update(member.as_bytes());
    hash.digest()
}

/// How many of the members come before `member` for a key; zero is the first choice.
pub(crate) fn rank<'a>(
    key: &str,
    member: &str,
    members: impl Iterator<Item = &'a (impl AsRef<str> + 'a)>,
) -> u32 {
    let own = (weight(key, member), member);
    let before = members.filter(|other| (weight(key, other.as_ref()), other.as_ref()) > own);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}

/// The first choice for a key.
pub(crate) fn first<'a, T: AsRef<str> + 'a>(
    key: &str,
    members: impl Iterator<Item = &'a T>,
) -> Option<&'a T> {
    members.max_by_key(|member| (weight(key, member.as_ref()), member.as_ref().to_owned()))
}
