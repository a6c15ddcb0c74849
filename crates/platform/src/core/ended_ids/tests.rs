//! Ids of accepted messages and of refused requests.

use super::*;

#[test]
fn refused_ids_displace_no_id_of_accepted_message() {
    let mut ids = EndedIds::new(2 * 800, usize::MAX, 50);
    let accepted =
        CompletedId { id_digest: digest(&[b"a"]), content_digest: 7, expires_at: 100, end: IdEnd::Returned };
    ids.insert_accepted(accepted, 0);
    for id in [&b"b"[..], b"c", b"d"] {
        ids.insert_refused(id, IdEnd::Rejected, 0);
    }
    let kept = CompletedId { expires_at: 150, ..accepted };
    assert_eq!(ids.find(b"a"), Some(kept), "its message may be submitted again after its deadline");
    assert_eq!(ids.find(b"b"), None, "the oldest refused id");
    assert_eq!(ids.find(b"d").map(|ended| (ended.end, ended.expires_at)), Some((IdEnd::Rejected, 50)));
    assert_eq!(ids.iter_accepted().collect::<Vec<_>>(), [accepted], "the journal keeps only these");
}
