use super::*;
use serde_json::json;

/// Creates a folder that only this test of this process uses.
fn create_folder(test: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("linnetcart-{test}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// A stream of ten seconds with three series.
fn recorded_stream() -> String {
    let mut text = String::new();
    for second in 100..110 {
        for (series, value) in [
            ("dest.kolo.limit_used_share", 0.9),
            ("class.order.worth_late_milli", f64::from(second) * 10.0),
            ("dest.kolo.state", f64::from(second % 3)),
        ] {
            text += &format!("linnetcart.b.edge.3.{series} {value} {second}\n");
        }
    }
    text
}

#[test]
fn recorded_stream_becomes_three_charts_and_a_malformed_line_is_named() {
    let dir = create_folder("streams");
    let file = dir.join("stream.txt");
    std::fs::write(&file, recorded_stream()).unwrap();
    report(std::slice::from_ref(&file), &dir).unwrap();
    for (chart, line) in [("limits", "kolo"), ("worth", "order late"), ("states", "kolo")] {
        let svg = std::fs::read_to_string(dir.join(format!("stream-{chart}.svg"))).unwrap();
        assert!(svg.contains(line), "{chart}: {svg:.300}");
    }
    std::fs::write(&file, recorded_stream() + "linnetcart.b nonsense\n").unwrap();
    let error = format!("{:#}", report(&[file], &dir).unwrap_err());
    assert!(error.contains("line 31"), "{error}");
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn figures_of_scenario_runs_become_a_table_and_a_chart() {
    let dir = create_folder("charts");
    let mut files = Vec::new();
    for (seed, service) in [(1, 0.8), (2, 0.9), (3, 0.7)] {
        let rules = json!([{"broken": seed / 3}]);
        let report = json!({"service": service, "worst_stretch": 0.5, "rules": rules});
        let runs = json!([{"policy": "library", "report": report}]);
        let file = dir.join(format!("{seed}.json"));
        std::fs::write(&file, json!({"day": "d", "seed": seed, "runs": runs}).to_string()).unwrap();
        files.push(file);
    }
    report(&files, &dir).unwrap();
    let table = std::fs::read_to_string(dir.join("d.md")).unwrap();
    assert!(table.contains("| library | 3 | 0.800 | 0.700 | 0.900 | 0.500 | 1 |"), "{table}");
    assert!(std::fs::read_to_string(dir.join("d.svg")).unwrap().contains("<svg"));
    std::fs::write(&files[0], "{}").unwrap();
    let error = format!("{:#}", report(&files, &dir).unwrap_err());
    assert!(error.contains("1.json"), "{error}");
    std::fs::remove_dir_all(dir).unwrap();
}
