//! The order of the entries, and which of them are due at a time.

use super::*;

fn index(entries: &[(Time, u32)]) -> TimeIndex<u32> {
    let mut index = TimeIndex::default();
    for &(at, id) in entries {
        index.insert(at, id);
    }
    index
}

#[test]
fn entries_inserted_in_any_order_are_returned_by_time_then_id() {
    let index = index(&[(20, 1), (10, 9), (10, 2)]);
    let ids: Vec<u32> = index.iter().map(|entry| entry.id).collect();
    assert_eq!((index.earliest(), ids), (Some(10), vec![2, 9, 1]));
}

#[test]
fn due_entries_include_those_at_the_time_itself() {
    let index = index(&[(10, 1), (20, 2), (21, 3)]);
    assert_eq!(index.due(20).collect::<Vec<u32>>(), [1, 2]);
    assert_eq!(index.first_due(10), Some(TimeEntry { at: 10, id: 1 }));
    assert_eq!(index.first_due(9), None);
}

#[test]
fn removed_entry_leaves_others_of_its_id() {
    let mut index = index(&[(10, 1), (20, 1)]);
    index.remove(10, 1);
    index.remove(15, 1);
    assert_eq!(index.earliest(), Some(20));
    index.remove(20, 1);
    assert_eq!(index.earliest(), None);
}
