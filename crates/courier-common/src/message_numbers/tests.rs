use super::MessageNumbers;

#[test]
fn message_numbers_after_last_restart_and_skip_numbers_in_use() {
    let mut numbers = MessageNumbers::starting_at(u32::MAX - 1);
    let in_use = |n: u32| n == u32::MAX || n == 0 || n == 2;
    let allocated: Vec<u32> = (0..4).map(|_| numbers.allocate(in_use)).collect();
    assert_eq!(allocated, [u32::MAX - 1, 1, 3, 4]);
}
