//! Results: a line as each run ends, so that nothing finished is lost, and one Parquet file of them all.

use super::measures::MEASURES;
use super::plan::Plan;
use anyhow::{bail, ensure, Context};
use arrow_array::{ArrayRef, Float64Array, RecordBatch, StringArray, UInt64Array};
use arrow_schema::{DataType, Field, Schema};
use parquet::arrow::ArrowWriter;
use parquet::file::metadata::KeyValue;
use parquet::file::properties::WriterProperties;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};

const LINES: &str = "runs.jsonl";
const HEAD: &str = "experiment.json";
const PARQUET: &str = "results.parquet";

/// A run's result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The run's number.
    pub run: u64,
    /// Its seed.
    pub seed: u64,
    /// Its measures.
    pub values: Vec<f64>,
    /// The sum over everything that happened.
    pub digest: String,
}

/// What a folder of results belongs to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The plan.
    pub plan: Plan,
    /// The commit that the program was built from, as far as is known.
    pub commit: String,
    /// The command that makes them.
    pub command: String,
}

/// A folder of results.
#[derive(Debug)]
pub struct Results {
    dir: PathBuf,
    head: Head,
    rows: Mutex<(File, BTreeMap<u64, Row>)>,
}

impl Results {
    /// Opens a folder, and goes on with what it holds of the same plan and commit.
    pub fn open(dir: &Path, head: Head) -> anyhow::Result<Results> {
        std::fs::create_dir_all(dir).with_context(|| dir.display().to_string())?;
        let path = dir.join(HEAD);
        if path.exists() {
            let text = std::fs::read_to_string(&path).with_context(|| path.display().to_string())?;
            let was: Head = serde_json::from_str(&text).with_context(|| path.display().to_string())?;
            if was.plan != head.plan || was.commit != head.commit {
                let what = if was.plan != head.plan { "another plan" } else { "another commit" };
                bail!("{}: begun with {what}; choose another --out, or remove it", dir.display());
            }
        }
        let lines = dir.join(LINES);
        let rows = read_lines(&lines, &head.plan)?;
        // What a cut left of a last line goes, and the head is there before the first line.
        let mut text = String::new();
        for row in rows.values() {
            text.push_str(&(serde_json::to_string(row)? + "\n"));
        }
        let aside = dir.join("runs.new");
        std::fs::write(&aside, text).with_context(|| aside.display().to_string())?;
        std::fs::rename(&aside, &lines).with_context(|| lines.display().to_string())?;
        std::fs::write(&path, serde_json::to_string_pretty(&head)? + "\n")
            .with_context(|| path.display().to_string())?;
        let file = File::options().append(true).open(&lines).with_context(|| lines.display().to_string())?;
        Ok(Results { dir: dir.to_owned(), head, rows: Mutex::new((file, rows)) })
    }

    /// The run has its result.
    pub fn has(&self, run: u64) -> bool {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner).1.contains_key(&run)
    }

    /// Runs with results.
    pub fn count(&self) -> u64 {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner).1.len() as u64
    }

    /// A run ended.
    pub fn put(&self, row: Row) -> anyhow::Result<()> {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.0.write_all((serde_json::to_string(&row)? + "\n").as_bytes())?;
        rows.1.insert(row.run, row);
        Ok(())
    }

    /// All results, by run.
    pub fn rows(&self) -> Vec<Row> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner).1.values().cloned().collect()
    }

    /// Writes them all as one file. The same results make the same bytes.
    pub fn parquet(&self) -> anyhow::Result<PathBuf> {
        let (plan, rows) = (&self.head.plan, self.rows());
        let mut fields =
            vec![Field::new("run", DataType::UInt64, false), Field::new("seed", DataType::UInt64, false)];
        let mut columns: Vec<ArrayRef> = vec![
            Arc::new(UInt64Array::from_iter_values(rows.iter().map(|r| r.run))),
            Arc::new(UInt64Array::from_iter_values(rows.iter().map(|r| r.seed))),
        ];
        for (n, f) in plan.factor.iter().enumerate() {
            fields.push(Field::new(&f.name, DataType::Utf8, false));
            let levels = rows.iter().map(|r| plan.levels(plan.run(r.run).0).swap_remove(n));
            columns.push(Arc::new(StringArray::from_iter_values(levels)));
        }
        for (n, m) in MEASURES.iter().enumerate() {
            let about = [("about".to_owned(), m.about.to_owned())].into_iter().collect();
            fields.push(Field::new(m.name, DataType::Float64, false).with_metadata(about));
            columns.push(Arc::new(Float64Array::from_iter_values(rows.iter().map(|r| r.values[n]))));
        }
        fields.push(Field::new("digest", DataType::Utf8, false));
        columns.push(Arc::new(StringArray::from_iter_values(rows.iter().map(|r| &r.digest))));
        let schema = Arc::new(Schema::new(fields));
        let batch = RecordBatch::try_new(schema.clone(), columns)?;
        let about = [
            ("linnetcart.plan", toml::to_string(plan)?),
            ("linnetcart.commit", self.head.commit.clone()),
            ("linnetcart.command", self.head.command.clone()),
        ];
        let about = about.into_iter().map(|(k, v)| KeyValue::new(k.into(), v)).collect();
        let how = WriterProperties::builder().set_key_value_metadata(Some(about)).build();
        let (aside, path) = (self.dir.join("results.new"), self.dir.join(PARQUET));
        let file = File::create(&aside).with_context(|| aside.display().to_string())?;
        let mut writer = ArrowWriter::try_new(file, schema, Some(how))?;
        writer.write(&batch)?;
        writer.close()?;
        std::fs::rename(&aside, &path).with_context(|| path.display().to_string())?;
        Ok(path)
    }

    /// What the folder belongs to.
    pub fn head(&self) -> &Head {
        &self.head
    }
}

/// Whole lines; one that a stop cut short is left out.
fn read_lines(path: &Path, plan: &Plan) -> anyhow::Result<BTreeMap<u64, Row>> {
    let mut rows = BTreeMap::new();
    let Ok(file) = File::open(path) else { return Ok(rows) };
    let mut file = BufReader::new(file);
    let mut line = String::new();
    for number in 1.. {
        line.clear();
        if file.read_line(&mut line).with_context(|| path.display().to_string())? == 0
            || !line.ends_with('\n')
        {
            break;
        }
        let row: Row =
            serde_json::from_str(&line).with_context(|| format!("{}, line {number}", path.display()))?;
        ensure!(
            row.run < plan.runs() && row.seed == plan.run(row.run).1 && row.values.len() == MEASURES.len(),
            "{}, line {number}: no run of this plan; choose another --out, or remove it",
            path.display()
        );
        rows.insert(row.run, row);
    }
    Ok(rows)
}
