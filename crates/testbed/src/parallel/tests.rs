use super::*;

#[test]
fn results_with_any_number_of_threads_are_the_same() {
    let square = |n: u64| Ok(n * n);
    let hit = |n: u64| Ok((n % 7 == 3).then_some(n));
    for threads in [1, 2, 5] {
        assert_eq!(run_all(threads, 2..6, &square).unwrap(), [4, 9, 16, 25]);
        assert_eq!(find_first(threads, 4..=100, &hit).unwrap(), Some((10, 10)));
        assert_eq!(find_first(threads, 4..=9, &hit).unwrap(), None);
    }
    assert!(run_all(3, 0..50, &|n| if n == 20 { Err(anyhow::anyhow!("no")) } else { Ok(n) }).is_err());
}
