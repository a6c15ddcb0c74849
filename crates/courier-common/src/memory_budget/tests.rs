use super::*;

#[test]
fn parts_together_stay_under_the_limit_with_a_reserve() {
    for megabytes in [32, 48, 64, 128, 192, 512, 2048, 16_384] {
        for file_descriptors in [64, 256, 1024, 4096] {
            let limit = megabytes * 1_000_000;
            let budget = MemoryBudget::new(limit, file_descriptors);
            let parts = [
                budget.requests,
                budget.messages,
                budget.ended_ids,
                budget.responses,
                budget.endpoints,
                budget.endpoint_update,
                budget.iteration,
            ];
            let sum: u64 = parts.iter().map(|&part| part as u64).sum();
            let fixed = PROCESS_BYTES + file_descriptors as u64 * BYTES_PER_DESCRIPTOR;
            let reserve = limit - fixed - sum;
            assert!(
                reserve * 10 >= limit - fixed,
                "{megabytes} MB, {file_descriptors} descriptors: {reserve}"
            );
            assert!(parts.iter().all(|&part| part > 500_000), "{megabytes} MB: {parts:?}");
        }
    }
}

#[test]
fn account_follows_what_is_held() {
    let mut account = MemoryAccount::new(100);
    account.resize(0, 50);
    assert!(account.has_room_for(50) && !account.has_room_for(51) && !account.is_half_used());
    account.resize(50, 101);
    assert!(account.is_exceeded() && account.is_half_used() && !account.has_room_for(usize::MAX));
    account.resize(101, 0);
    assert_eq!(account.held(), 0);
}

#[test]
fn buffer_grows_in_steps_close_to_its_length() {
    let mut buffer = Vec::new();
    for _ in 0..80 {
        reserve(&mut buffer, 1000);
        buffer.resize(buffer.len() + 1000, 0);
        assert!(buffer.capacity() <= buffer.len().max(1024) * 2);
        assert!(buffer.capacity() < buffer.len() + BUFFER_STEP_BYTES);
    }
}
