//! Work by number on several threads, with results that do not depend on how many.

use std::collections::BTreeMap;
use std::ops::{Range, RangeInclusive};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

fn workers<T: Send>(threads: usize, work: impl Fn() -> anyhow::Result<T> + Sync) -> anyhow::Result<Vec<T>> {
    std::thread::scope(|s| {
        let all: Vec<_> = (0..threads.max(1)).map(|_| s.spawn(&work)).collect();
        let ended = all.into_iter().map(|t| t.join().unwrap_or_else(|e| std::panic::resume_unwind(e)));
        ended.collect()
    })
}

/// Does all numbers; results in their order.
pub fn all<T: Send>(
    threads: usize,
    numbers: Range<u64>,
    work: &(dyn Fn(u64) -> anyhow::Result<T> + Sync),
) -> anyhow::Result<Vec<T>> {
    let next = AtomicU64::new(numbers.start);
    let done = Mutex::new(BTreeMap::new());
    workers(threads, || loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= numbers.end {
            return Ok(());
        }
        let result = work(number)?;
        done.lock().unwrap_or_else(PoisonError::into_inner).insert(number, result);
    })?;
    Ok(done.into_inner().unwrap_or_else(PoisonError::into_inner).into_values().collect())
}

/// The least number for which there is something; later ones that were begun are of no account.
pub fn first<T: Send>(
    threads: usize,
    numbers: RangeInclusive<u64>,
    work: &(dyn Fn(u64) -> anyhow::Result<Option<T>> + Sync),
) -> anyhow::Result<Option<(u64, T)>> {
    let next = AtomicU64::new(*numbers.start());
    let found = AtomicU64::new(u64::MAX);
    let best = Mutex::new(BTreeMap::new());
    workers(threads, || loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number > *numbers.end() || number > found.load(Ordering::Relaxed) {
            return Ok(());
        }
        if let Some(result) = work(number)? {
            found.fetch_min(number, Ordering::Relaxed);
            best.lock().unwrap_or_else(PoisonError::into_inner).insert(number, result);
        }
    })?;
    Ok(best.into_inner().unwrap_or_else(PoisonError::into_inner).into_iter().next())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn results_are_the_same_with_any_number_of_threads() {
        let square = |n: u64| Ok(n * n);
        let hit = |n: u64| Ok((n % 7 == 3).then_some(n));
        for threads in [1, 2, 5] {
            assert_eq!(all(threads, 2..6, &square).unwrap(), [4, 9, 16, 25]);
            assert_eq!(first(threads, 4..=100, &hit).unwrap(), Some((10, 10)));
            assert_eq!(first(threads, 4..=9, &hit).unwrap(), None);
        }
        assert!(all(3, 0..50, &|n| if n == 20 { Err(anyhow::anyhow!("no")) } else { Ok(n) }).is_err());
    }
}
