//! A folder for the files of one test.

use std::path::PathBuf;

/// A folder of this process and test alone, which does not exist yet.
pub fn work_folder(test: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("linnetcart-testbed-test-{}-{test}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}
