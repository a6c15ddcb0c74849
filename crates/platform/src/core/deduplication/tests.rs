//! Capacity, expiry and lookup of cached ids.

use super::*;
use crate::core::tests::fixtures;
use crate::records::{IdEnd, Message};

fn completed(id_digest: u64, expires_at: Time) -> CompletedId {
    CompletedId { id_digest, content_digest: 0, expires_at, end: IdEnd::Completed }
}

fn ids(cache: &DeduplicationCache) -> Vec<u64> {
    cache.iter().map(|completed| completed.id_digest).collect()
}

/// Returns a cache for `capacity` ids.
fn cache_of(capacity: u64) -> DeduplicationCache {
    DeduplicationCache::new(capacity * CAPACITY_DIVISOR * BYTES_PER_ID, usize::MAX)
}

#[test]
fn deduplication_over_capacity_drops_first_to_expire() {
    let mut cache = cache_of(2);
    for (id_digest, expires_at) in [(1, 30), (2, 20), (3, 40)] {
        cache.insert(completed(id_digest, expires_at), 0);
    }
    assert_eq!(ids(&cache), [1, 3]);
}

#[test]
fn deduplication_bounded_by_memory() {
    let mut cache = DeduplicationCache::new(u64::MAX, 2 * MEMORY_PER_ID);
    for (id_digest, expires_at) in [(1, 30), (2, 20), (3, 40)] {
        cache.insert(completed(id_digest, expires_at), 0);
    }
    assert_eq!(ids(&cache), [1, 3]);
}

#[test]
fn deduplication_expired_id_dropped() {
    let mut cache = cache_of(9);
    cache.insert(completed(1, 30), 0);
    cache.insert(completed(2, 30), 30);
    assert_eq!(ids(&cache), Vec::<u64>::new());
}

#[test]
fn deduplication_same_id_again_replaces_expiry() {
    let mut cache = cache_of(9);
    cache.insert(completed(1, 30), 0);
    cache.insert(completed(1, 50), 0);
    assert_eq!(cache.iter().collect::<Vec<_>>(), [completed(1, 50)]);
}

#[test]
fn deduplication_same_content_distinguished_from_other() {
    let message = |wall_deadline, body: &[u8]| Message {
        wall_deadline,
        body: body.to_vec(),
        ..fixtures::message("id")
    };
    let mut cache = cache_of(9);
    cache.insert(message(10, b"a").completed_id(IdEnd::Completed), 0);
    let content_of = |message: Message| message.completed_id(IdEnd::Completed).content_digest;
    let found = cache.find(b"id").map(|found| found.content_digest);
    assert_eq!(found, Some(content_of(message(99, b"a"))), "the deadline is not compared");
    assert_ne!(found, Some(content_of(message(10, b"b"))));
    assert_eq!(cache.find(b"other"), None);
}
