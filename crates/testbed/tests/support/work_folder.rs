//! A folder for the files of one test.

use std::path::PathBuf;

/// The path of a folder that only this test of this process uses. The folder does not exist yet.
pub fn work_folder(test: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("linnetcart-testbed-test-{}-{test}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}
