//! Runs numbered tasks on several threads. The results do not depend on the number of threads.

use std::collections::BTreeMap;
use std::ops::{Range, RangeInclusive};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

#[cfg(test)]
mod tests;

/// Runs the same work on each thread. Returns the first error, by thread; a panic of a worker is passed on.
fn run_workers(threads: usize, task: impl Fn() -> anyhow::Result<()> + Sync) -> anyhow::Result<()> {
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(&task)).collect();
        let mut outcome = Ok(());
        for worker in workers {
            let ended = worker.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic));
            outcome = outcome.and(ended);
        }
        outcome
    })
}

/// Runs the task of each number and returns the results in the order of the numbers.
///
/// # Errors
/// Fails if a task fails; the others may then be left out.
pub fn run_all<T: Send>(
    threads: usize,
    numbers: Range<u64>,
    task: &(dyn Fn(u64) -> anyhow::Result<T> + Sync),
) -> anyhow::Result<Vec<T>> {
    let next = AtomicU64::new(numbers.start);
    let results = Mutex::new(BTreeMap::new());
    run_workers(threads, || loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= numbers.end {
            return Ok(());
        }
        let result = task(number)?;
        results.lock().unwrap_or_else(PoisonError::into_inner).insert(number, result);
    })?;
    let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    Ok(results.into_values().collect())
}

/// A result, and the number of the task that found it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Found<T> {
    /// The number of the task.
    pub number: u64,
    /// Its result.
    pub result: T,
}

/// Returns the result of the lowest number whose task has one, or `None` if no task has. Tasks of higher
/// numbers that were already begun are discarded.
///
/// # Errors
/// Fails if a task fails.
pub fn find_first<T: Send>(
    threads: usize,
    numbers: RangeInclusive<u64>,
    task: &(dyn Fn(u64) -> anyhow::Result<Option<T>> + Sync),
) -> anyhow::Result<Option<Found<T>>> {
    let next = AtomicU64::new(*numbers.start());
    let lowest_found = AtomicU64::new(u64::MAX);
    let found = Mutex::new(BTreeMap::new());
    run_workers(threads, || loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number > *numbers.end() || number > lowest_found.load(Ordering::Relaxed) {
            return Ok(());
        }
        if let Some(result) = task(number)? {
            lowest_found.fetch_min(number, Ordering::Relaxed);
            found.lock().unwrap_or_else(PoisonError::into_inner).insert(number, result);
        }
    })?;
    let mut found = found.into_inner().unwrap_or_else(PoisonError::into_inner);
    Ok(found.pop_first().map(|(number, result)| Found { number, result }))
}
