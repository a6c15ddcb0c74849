//! Runs numbered tasks on several threads, which take the next number from a shared counter. The results do
//! not depend on the number of threads.

use std::collections::BTreeMap;
use std::ops::{Range, RangeInclusive};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

#[cfg(test)]
mod tests;

/// Runs the same worker loop on each thread. If several fail, returns the error of the thread that was
/// started first; a panic of a worker is resumed in the caller.
fn run_workers(threads: usize, worker_loop: impl Fn() -> anyhow::Result<()> + Sync) -> anyhow::Result<()> {
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(&worker_loop)).collect();
        let mut outcome = Ok(());
        for worker in workers {
            let worker_outcome = worker.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic));
            outcome = outcome.and(worker_outcome);
        }
        outcome
    })
}

/// Runs the task of each number and returns the results in the order of the numbers.
///
/// # Errors
/// Fails if a task fails; tasks that have not started may then not run.
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
    /// The result of the task.
    pub result: T,
}

/// Returns the result of the lowest number whose task has one, or `None` if no task has. No task of a higher
/// number is started after a result was found; results of tasks of higher numbers that are already running
/// are discarded.
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
