//! Numbered work on several threads, with results that do not depend on how many.

use std::collections::BTreeMap;
use std::ops::{Range, RangeInclusive};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

#[cfg(test)]
mod tests;

fn run_workers(threads: usize, work: impl Fn() -> anyhow::Result<()> + Sync) -> anyhow::Result<()> {
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(&work)).collect();
        let mut outcome = Ok(());
        for worker in workers {
            let ended = worker.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic));
            outcome = outcome.and(ended);
        }
        outcome
    })
}

/// Does the work of all numbers; the results are in their order.
pub fn run_all<T: Send>(
    threads: usize,
    numbers: Range<u64>,
    work: &(dyn Fn(u64) -> anyhow::Result<T> + Sync),
) -> anyhow::Result<Vec<T>> {
    let next = AtomicU64::new(numbers.start);
    let results = Mutex::new(BTreeMap::new());
    run_workers(threads, || loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= numbers.end {
            return Ok(());
        }
        let result = work(number)?;
        results.lock().unwrap_or_else(PoisonError::into_inner).insert(number, result);
    })?;
    let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    Ok(results.into_values().collect())
}

/// The result of the lowest number that has one. Work on higher numbers that was already begun is discarded.
pub fn find_first<T: Send>(
    threads: usize,
    numbers: RangeInclusive<u64>,
    work: &(dyn Fn(u64) -> anyhow::Result<Option<T>> + Sync),
) -> anyhow::Result<Option<(u64, T)>> {
    let next = AtomicU64::new(*numbers.start());
    let lowest_found = AtomicU64::new(u64::MAX);
    let found = Mutex::new(BTreeMap::new());
    run_workers(threads, || loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number > *numbers.end() || number > lowest_found.load(Ordering::Relaxed) {
            return Ok(());
        }
        if let Some(result) = work(number)? {
            lowest_found.fetch_min(number, Ordering::Relaxed);
            found.lock().unwrap_or_else(PoisonError::into_inner).insert(number, result);
        }
    })?;
    let mut found = found.into_inner().unwrap_or_else(PoisonError::into_inner);
    Ok(found.pop_first())
}
