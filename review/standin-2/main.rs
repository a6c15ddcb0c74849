//! Plays one case of the second review: `review-2 CASE FOLDER`, with `TROUBLE=0` without the disruption.
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

mod common;
mod stolen_id;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-2 CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Path::new(folder).join("record.txt");
    let temporary = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    common::limit_time(std::time::Duration::from_secs(115));
    let code = match &case[..] {
        "stolen-id" => stolen_id::play(&temporary, &record, trouble),
        _ => 2,
    };
    let _ = std::fs::remove_dir_all(&temporary);
    std::process::exit(code);
}
