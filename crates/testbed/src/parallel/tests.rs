use super::*;

#[test]
fn results_with_any_number_of_threads_are_the_same() {
    let square = |number: u64| Ok(number * number);
    let hit = |number: u64| Ok((number % 7 == 3).then_some(number));
    for threads in [1, 2, 5] {
        assert_eq!(run_all(threads, 2..6, &square).unwrap(), [4, 9, 16, 25]);
        let lowest = Found { number: 10, result: 10 };
        assert_eq!(find_first(threads, 4..=100, &hit).unwrap(), Some(lowest));
        assert_eq!(find_first(threads, 4..=9, &hit).unwrap(), None);
    }
    let fails_at_20 = |number: u64| if number == 20 { Err(anyhow::anyhow!("no")) } else { Ok(number) };
    assert!(run_all(3, 0..50, &fails_at_20).is_err());
}
