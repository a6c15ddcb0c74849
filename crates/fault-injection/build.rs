//! Compiles the shim, a shared library that is preloaded into the program under test.

use std::path::PathBuf;
use std::process::Command;

const SOURCE: &str = "shim/fault_shim.c";

fn main() {
    println!("cargo:rerun-if-changed={SOURCE}");
    println!("cargo:rerun-if-env-changed=CC");
    let out_dir = std::env::var_os("OUT_DIR").expect("cargo sets OUT_DIR");
    let library = PathBuf::from(out_dir).join("libfault_shim.so");
    let compiler = std::env::var("CC").unwrap_or_else(|_| "cc".to_owned());
    let status = Command::new(&compiler)
        .args(["-std=gnu11", "-O2", "-Wall", "-Wextra", "-Werror", "-shared", "-fPIC", "-o"])
        .arg(&library)
        .args([SOURCE, "-ldl"])
        .status()
        .unwrap_or_else(|error| {
            panic!("the C compiler {compiler} (set by CC, or cc) cannot be run: {error}")
        });
    assert!(status.success(), "{compiler} failed to compile {SOURCE}");
    println!("cargo:rustc-env=FAULT_SHIM={}", library.display());
}
