use super::*;

#[test]
fn recorded_stream_becomes_three_charts_and_a_malformed_line_is_named() {
    let dir = std::env::temp_dir().join(format!("linnetcart-streams-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let mut text = String::new();
    for at in 100..110 {
        for (end, value) in [
            ("dest.kolo.limit_used_share", 0.9),
            ("class.order.worth_late_milli", f64::from(at) * 10.0),
            ("dest.kolo.state", f64::from(at % 3)),
        ] {
            text += &format!("linnetcart.b.edge.3.{end} {value} {at}\n");
        }
    }
    let file = dir.join("stream.txt");
    std::fs::write(&file, &text).unwrap();
    report(std::slice::from_ref(&file), &dir).unwrap();
    for (name, has) in [("limits", "kolo"), ("worth", "order late"), ("states", "kolo")] {
        let svg = std::fs::read_to_string(dir.join(format!("stream-{name}.svg"))).unwrap();
        assert!(svg.contains(has), "{name}: {svg:.300}");
    }
    std::fs::write(&file, text + "linnetcart.b nonsense\n").unwrap();
    let error = format!("{:#}", report(&[file], &dir).unwrap_err());
    assert!(error.contains("line 31"), "{error}");
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn figures_of_scenario_runs_become_a_table_and_a_chart() {
    let dir = std::env::temp_dir().join(format!("linnetcart-charts-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let mut files = Vec::new();
    for (seed, service) in [(1, 0.8), (2, 0.9), (3, 0.7)] {
        let report =
            serde_json::json!({"service": service, "worst_stretch": 0.5, "rules": [{"broken": seed / 3}]});
        let v =
            serde_json::json!({"day": "d", "seed": seed, "runs": [{"policy": "library", "report": report}]});
        let file = dir.join(format!("{seed}.json"));
        std::fs::write(&file, v.to_string()).unwrap();
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
