//! The hops that `docs/architecture.md` names are in the code: each function after a file is defined in that file.

use std::path::{Path, PathBuf};

/// A function that the page places in a file.
#[derive(Debug)]
struct Hop {
    file: String,
    function: String,
}

#[test]
fn architecture_page_functions_defined_in_the_files_named() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/architecture.md")).expect("the page");
    let mut sources = Vec::new();
    for folder in ["src", "crates", "bench-adapter"] {
        collect_sources(&root.join(folder), &mut sources);
    }
    let hops = hops(&page);
    assert!(hops.len() > 40, "the page names files and functions in code quotes: {hops:#?}");
    let missing: Vec<&Hop> = hops.iter().filter(|hop| !is_defined(hop, &sources)).collect();
    assert!(missing.is_empty(), "not in the code: {missing:#?}");
}

/// Function names in code quotes, each with the last file named before it on its line.
fn hops(page: &str) -> Vec<Hop> {
    let mut hops = Vec::new();
    for paragraph in page.split("\n\n").flat_map(|block| block.split("\n|")) {
        let mut file: Option<String> = None;
        for quoted in paragraph.split('`').skip(1).step_by(2) {
            if quoted.ends_with(".rs") {
                file = Some(quoted.to_owned());
            } else if let Some(file) = file.as_ref().filter(|_| is_function_name(quoted)) {
                hops.push(Hop { file: file.clone(), function: quoted.to_owned() });
            }
        }
    }
    hops
}

/// Whether a quoted word has the form of a function's name and of nothing else that the page quotes.
fn is_function_name(word: &str) -> bool {
    word.chars().all(|c| c.is_ascii_lowercase() || c == '_')
}

/// Whether a file whose path ends as the hop says defines the function.
fn is_defined(hop: &Hop, sources: &[PathBuf]) -> bool {
    let definition = format!("fn {}", hop.function);
    let defines = |text: &str| {
        text.match_indices(&definition).any(|(at, _)| {
            let next = text[at + definition.len()..].chars().next();
            matches!(next, Some('(' | '<'))
        })
    };
    let named = sources.iter().filter(|path| path.ends_with(&hop.file));
    named.filter_map(|path| std::fs::read_to_string(path).ok()).any(|text| defines(&text))
}

fn collect_sources(folder: &Path, sources: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder of the workspace") {
        let path = entry.expect("an entry of the folder").path();
        if path.is_dir() {
            collect_sources(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push(path);
        }
    }
}
