//! Checks that each function that `docs/architecture.md` names after a file is defined in that file.

use std::path::{Path, PathBuf};

/// A function that the page names, with the file in which it should be defined.
#[derive(Debug)]
struct FunctionReference {
    file: String,
    function: String,
}

#[test]
fn architecture_page_functions_defined_in_the_files_named() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/architecture.md")).expect("the page");
    let mut sources = Vec::new();
    for directory in ["src", "crates", "bench-adapter"] {
        collect_sources(&root.join(directory), &mut sources);
    }
    let references = function_references(&page);
    assert!(references.len() > 40, "too few functions named in code quotes: {references:#?}");
    let undefined: Vec<&FunctionReference> =
        references.iter().filter(|reference| !is_defined(reference, &sources)).collect();
    assert!(undefined.is_empty(), "not defined in the file named: {undefined:#?}");
}

/// Returns the function names in code quotes, each with the last file named before it in the same paragraph
/// or table row.
fn function_references(page: &str) -> Vec<FunctionReference> {
    let mut references = Vec::new();
    for paragraph in page.split("\n\n").flat_map(|block| block.split("\n|")) {
        let mut file: Option<String> = None;
        for quoted in paragraph.split('`').skip(1).step_by(2) {
            if quoted.ends_with(".rs") {
                file = Some(quoted.to_owned());
            } else if let Some(file) = file.as_ref().filter(|_| is_function_name(quoted)) {
                references.push(FunctionReference { file: file.clone(), function: quoted.to_owned() });
            }
        }
    }
    references
}

/// Returns whether a quoted word consists of lower-case letters and underscores, which on the page only
/// function names do.
fn is_function_name(word: &str) -> bool {
    word.chars().all(|c| c.is_ascii_lowercase() || c == '_')
}

/// Returns whether a source file whose path ends with the named one defines the function.
fn is_defined(reference: &FunctionReference, sources: &[PathBuf]) -> bool {
    let definition = format!("fn {}", reference.function);
    let defines = |text: &str| {
        text.match_indices(&definition).any(|(at, _)| {
            let next = text[at + definition.len()..].chars().next();
            matches!(next, Some('(' | '<'))
        })
    };
    let named = sources.iter().filter(|path| path.ends_with(&reference.file));
    named.filter_map(|path| std::fs::read_to_string(path).ok()).any(|text| defines(&text))
}

/// Adds the paths of all Rust files below a directory.
fn collect_sources(directory: &Path, sources: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(directory).expect("a directory of the workspace") {
        let path = entry.expect("an entry of the directory").path();
        if path.is_dir() {
            collect_sources(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push(path);
        }
    }
}
