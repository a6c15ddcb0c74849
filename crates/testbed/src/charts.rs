//! Charts (SVG) and a table (Markdown) from kept figures.

use crate::figures::median;
use anyhow::{anyhow, Context};
use plotters::prelude::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};

const SIZE: (u32, u32) = (760, 380);
const COLOURS: [RGBColor; 3] = [RGBColor(31, 119, 180), RGBColor(255, 127, 14), RGBColor(44, 160, 44)];

/// Served worth and broken rules of one policy on one seed.
#[derive(Clone, Debug, PartialEq)]
struct Run {
    seed: u64,
    service: f64,
    worst: f64,
    broken: u64,
}

/// Reads the files and writes what they show.
pub fn report(files: &[PathBuf], out: &Path) -> anyhow::Result<()> {
    std::fs::create_dir_all(out).with_context(|| out.display().to_string())?;
    let mut days: BTreeMap<String, BTreeMap<String, Vec<Run>>> = BTreeMap::new();
    for file in files {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        if text.starts_with("linnetcart") {
            let stem = file.file_stem().map_or("stream".into(), |s| s.to_string_lossy().into_owned());
            stream(&text, &stem, out).with_context(|| file.display().to_string())?;
            continue;
        }
        let v: Value = serde_json::from_str(&text).with_context(|| file.display().to_string())?;
        if v.get("beside").is_some() {
            scaling(&v, out)?;
            continue;
        }
        let (day, runs) =
            runs(&v).with_context(|| format!("{}: neither a day's nor a floor's figures", file.display()))?;
        for (policy, run) in runs {
            days.entry(day.clone()).or_default().entry(policy).or_default().push(run);
        }
    }
    for (day, policies) in &mut days {
        policies.values_mut().for_each(|r| r.sort_by_key(|r| r.seed));
        seeds(day, policies, &out.join(format!("{day}.svg")))?;
        let path = out.join(format!("{day}.md"));
        std::fs::write(&path, table(policies)).with_context(|| path.display().to_string())?;
    }
    Ok(())
}

fn runs(v: &Value) -> Option<(String, Vec<(String, Run)>)> {
    let (day, seed) = (v["day"].as_str()?.to_owned(), v["seed"].as_u64()?);
    let each = v["runs"].as_array()?.iter().map(|r| {
        let report = &r["report"];
        let broken = report["rules"].as_array()?.iter().filter_map(|f| f["broken"].as_u64()).sum();
        let (service, worst) = (report["service"].as_f64()?, report["worst_stretch"].as_f64()?);
        Some((r["policy"].as_str()?.to_owned(), Run { seed, service, worst, broken }))
    });
    Some((day, each.collect::<Option<Vec<_>>>()?))
}

fn table(policies: &BTreeMap<String, Vec<Run>>) -> String {
    let mut out = String::from(
        "| policy | seeds | served worth: median | least | most | worst 10 s: median | seeds that broke a rule |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (policy, runs) in policies {
        let service = runs.iter().map(|r| r.service);
        let _ = writeln!(
            out,
            "| {policy} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {} |",
            runs.len(),
            median(service.clone().collect()),
            service.clone().fold(f64::MAX, f64::min),
            service.fold(f64::MIN, f64::max),
            median(runs.iter().map(|r| r.worst).collect()),
            runs.iter().filter(|r| r.broken > 0).count()
        );
    }
    out
}

/// An error of drawing as any other.
pub(crate) fn drawn<E: std::error::Error + Send + Sync + 'static>(
    e: DrawingAreaErrorKind<E>,
) -> anyhow::Error {
    anyhow!("the chart could not be drawn: {e}")
}

/// Served worth by seed, a mark a policy.
fn seeds(day: &str, policies: &BTreeMap<String, Vec<Run>>, path: &Path) -> anyhow::Result<()> {
    let most = policies.values().flatten().map(|r| r.seed).max().unwrap_or(1) as f64;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(drawn)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{day}: served worth by seed"), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..most + 1.0, 0.0..1.0)
        .map_err(drawn)?;
    chart.configure_mesh().x_desc("seed").y_desc("served worth").draw().map_err(drawn)?;
    for (n, (policy, runs)) in policies.iter().enumerate() {
        let colour = COLOURS[n % COLOURS.len()];
        let marks = runs.iter().map(|r| Circle::new((r.seed as f64, r.service), 4, colour.filled()));
        chart
            .draw_series(marks)
            .map_err(drawn)?
            .label(policy.as_str())
            .legend(move |(x, y)| Circle::new((x, y), 4, colour.filled()));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw().map_err(drawn)?;
    area.present().map_err(drawn)
}

/// A recorded stream: who is near the limit, where worth arrives late or is lost, who is out.
fn stream(text: &str, stem: &str, out: &Path) -> anyhow::Result<()> {
    type Lines = BTreeMap<String, Vec<(f64, f64)>>;
    let (mut used, mut worth, mut state): (Lines, Lines, Lines) = Default::default();
    let mut first = u64::MAX;
    for (n, line) in text.lines().enumerate() {
        let point = linnetcart_telemetry::graphite::read_line(line);
        let (name, value, at) = point.with_context(|| format!("line {}: no point", n + 1))?;
        first = first.min(at);
        let at = (at - first.min(at)) as f64;
        let Some((of, field)) = name.rsplit_once('.') else { continue };
        let dest = of.rsplit_once(".dest.").map(|d| d.1).filter(|d| !d.contains('.'));
        let class = of.rsplit_once(".class.").map(|c| c.1).filter(|_| !of.contains(".dest."));
        match (field, dest, class) {
            ("limit_used_share" | "limit_own_share", Some(d), _) => {
                used.entry(d.to_owned()).or_default().push((at, value));
            }
            ("worth_late_milli", _, Some(c)) => {
                worth.entry(format!("{c} late")).or_default().push((at, value / 1000.0));
            }
            ("worth_lost_milli", _, Some(c)) => {
                worth.entry(format!("{c} lost")).or_default().push((at, value / 1000.0));
            }
            ("state", Some(d), _) => state.entry(d.to_owned()).or_default().push((at, value)),
            _ => {}
        }
    }
    // Of very many the worst few: a chart of hundreds of lines shows nothing.
    let worst = |lines: Lines, bad: fn(f64, f64) -> f64, least: f64| -> Lines {
        let mut all: Vec<_> = lines.into_iter().collect();
        let height = |points: &[(f64, f64)]| points.iter().map(|p| p.1).reduce(bad).unwrap_or(least);
        all.sort_by(|a, b| height(&a.1).total_cmp(&height(&b.1)));
        if bad(0.0, 1.0) == 1.0 {
            all.reverse();
        }
        all.into_iter().take(8).collect()
    };
    let charts = [
        ("limits", "share of the limit used", worst(used, f64::max, 0.0)),
        ("worth", "worth late and lost so far", worst(worth, f64::max, 0.0)),
        ("states", "state: 2 in service, 1 warming, 0 out", worst(state, f64::min, 2.0)),
    ];
    for (name, caption, lines) in charts {
        let path = out.join(format!("{stem}-{name}.svg"));
        over_time(caption, &lines, &path)?;
    }
    Ok(())
}

fn over_time(caption: &str, lines: &BTreeMap<String, Vec<(f64, f64)>>, path: &Path) -> anyhow::Result<()> {
    let all = || lines.values().flatten();
    let (end, top) = (all().map(|p| p.0).fold(1.0, f64::max), all().map(|p| p.1).fold(1.0, f64::max) * 1.1);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(drawn)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(55)
        .build_cartesian_2d(0.0..end, 0.0..top)
        .map_err(drawn)?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(drawn)?;
    for (n, (name, points)) in lines.iter().enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))
            .map_err(drawn)?
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw().map_err(drawn)?;
    area.present().map_err(drawn)
}

/// CPU a message over held messages and over destinations.
fn scaling(v: &Value, out: &Path) -> anyhow::Result<()> {
    for (name, key) in [("held", "held"), ("destinations", "destinations")] {
        let rows = v[name].as_array().context("rows")?;
        let points: Vec<(f64, f64)> =
            rows.iter().filter_map(|r| Some((r[key].as_f64()?, r["cpu_us"].as_f64()?))).collect();
        let most = points.iter().map(|p| p.0).fold(1.0, f64::max);
        let top = points.iter().map(|p| p.1).fold(1.0, f64::max) * 1.1;
        let path = out.join(format!("floor-{name}.svg"));
        let area = SVGBackend::new(&path, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(drawn)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(format!("CPU a message by {name}"), ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(55)
            .build_cartesian_2d((1.0..most * 1.2).log_scale(), 0.0..top)
            .map_err(drawn)?;
        chart.configure_mesh().x_desc(name).y_desc("us of CPU").draw().map_err(drawn)?;
        chart.draw_series(LineSeries::new(points.clone(), &COLOURS[0])).map_err(drawn)?;
        chart.draw_series(points.iter().map(|&p| Circle::new(p, 4, COLOURS[0].filled()))).map_err(drawn)?;
        area.present().map_err(drawn)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_recorded_stream_becomes_three_charts_and_a_bad_line_is_named() {
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
    fn figures_of_days_become_a_table_and_a_chart() {
        let dir = std::env::temp_dir().join(format!("linnetcart-charts-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let mut files = Vec::new();
        for (seed, service) in [(1, 0.8), (2, 0.9), (3, 0.7)] {
            let report = serde_json::json!({"service": service, "worst_stretch": 0.5, "rules": [{"broken": seed / 3}]});
            let v = serde_json::json!({"day": "d", "seed": seed, "runs": [{"policy": "library", "report": report}]});
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
}
