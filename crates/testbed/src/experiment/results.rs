//! Stored results: one line of JSON for each finished run, written when the run ends, so that an interruption
//! loses none, and one Parquet file with all of them.

use super::measures::MEASURES;
use super::plan::{Plan, RunKey};
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
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One line of JSON for each result.
const LINES_FILE: &str = "runs.jsonl";
/// The next version of [`LINES_FILE`], until it is complete and renamed.
const NEW_LINES_FILE: &str = "runs.new";
/// The [`Header`] as JSON.
const HEADER_FILE: &str = "experiment.json";
const PARQUET_FILE: &str = "results.parquet";
/// The next version of [`PARQUET_FILE`], until it is complete and renamed.
const NEW_PARQUET_FILE: &str = "results.new";

/// The result of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The number of the run in the plan, counted from 0.
    pub run: u64,
    /// The seed of the run.
    pub seed: u64,
    /// The values of the measures of the run, in the order of [`MEASURES`].
    pub values: Vec<f64>,
    /// SHA-256 of the run's network segments, in hexadecimal; equal digests show that two runs were
    /// identical.
    pub digest: String,
}

/// The experiment that a folder of results belongs to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The plan of the experiment.
    pub plan: Plan,
    /// The commit that was checked out when the experiment was started, or `unknown`.
    pub commit: String,
    /// The command that produces the results.
    pub command: String,
}

/// The folder of an experiment's results. Several threads add results at the same time.
#[derive(Debug)]
pub struct Results {
    dir: PathBuf,
    header: Header,
    rows: Mutex<StoredRows>,
}

/// All results in memory, and the file that each new one is appended to.
#[derive(Debug)]
struct StoredRows {
    file: File,
    by_run: BTreeMap<u64, Row>,
}

impl Results {
    /// Opens or creates a folder and loads the results that it holds.
    ///
    /// # Errors
    /// Fails if the folder belongs to another plan or commit, or cannot be read and written.
    pub fn open(dir: &Path, header: Header) -> anyhow::Result<Results> {
        std::fs::create_dir_all(dir).with_context(|| dir.display().to_string())?;
        let header_path = dir.join(HEADER_FILE);
        ensure_same_experiment(dir, &header_path, &header)?;
        let lines_path = dir.join(LINES_FILE);
        let by_run = read_lines(&lines_path, &header.plan)?;
        // An incomplete last line is removed, and the header is written before the first line.
        rewrite_lines(&dir.join(NEW_LINES_FILE), &lines_path, &by_run)?;
        std::fs::write(&header_path, serde_json::to_string_pretty(&header)? + "\n")
            .with_context(|| header_path.display().to_string())?;
        let file = File::options().append(true).open(&lines_path);
        let file = file.with_context(|| lines_path.display().to_string())?;
        Ok(Results { dir: dir.to_owned(), header, rows: Mutex::new(StoredRows { file, by_run }) })
    }

    /// Locks the rows, even if another thread has panicked while it held the lock.
    fn lock_rows(&self) -> MutexGuard<'_, StoredRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the run of this number has a result.
    pub fn contains(&self, run: u64) -> bool {
        self.lock_rows().by_run.contains_key(&run)
    }

    /// Number of runs with results.
    pub fn count(&self) -> u64 {
        self.lock_rows().by_run.len() as u64
    }

    /// Appends the result of a run to the file and keeps it in memory.
    pub fn add(&self, row: Row) -> anyhow::Result<()> {
        let line = serde_json::to_string(&row)? + "\n";
        let mut rows = self.lock_rows();
        rows.file.write_all(line.as_bytes())?;
        rows.by_run.insert(row.run, row);
        Ok(())
    }

    /// All results, in the order of the run numbers.
    pub fn rows(&self) -> Vec<Row> {
        self.lock_rows().by_run.values().cloned().collect()
    }

    /// The experiment that the folder belongs to.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// Writes all results as one Parquet file and returns its path. The same results and header produce the
    /// same bytes.
    pub fn write_parquet(&self) -> anyhow::Result<PathBuf> {
        let batch = record_batch(&self.header.plan, &self.rows())?;
        let properties = WriterProperties::builder().set_key_value_metadata(Some(self.metadata()?)).build();
        let new_path = self.dir.join(NEW_PARQUET_FILE);
        let path = self.dir.join(PARQUET_FILE);
        let file = File::create(&new_path).with_context(|| new_path.display().to_string())?;
        let mut writer = ArrowWriter::try_new(file, batch.schema(), Some(properties))?;
        writer.write(&batch)?;
        writer.close()?;
        std::fs::rename(&new_path, &path).with_context(|| path.display().to_string())?;
        Ok(path)
    }

    fn metadata(&self) -> anyhow::Result<Vec<KeyValue>> {
        let plan = toml::to_string(&self.header.plan)?;
        Ok(vec![
            KeyValue::new("linnetcart.plan".into(), plan),
            KeyValue::new("linnetcart.commit".into(), self.header.commit.clone()),
            KeyValue::new("linnetcart.command".into(), self.header.command.clone()),
        ])
    }
}

/// Fails if the folder has a header with another plan or commit.
fn ensure_same_experiment(dir: &Path, header_path: &Path, header: &Header) -> anyhow::Result<()> {
    if !header_path.exists() {
        return Ok(());
    }
    let text = std::fs::read_to_string(header_path).with_context(|| header_path.display().to_string())?;
    let stored: Header = serde_json::from_str(&text).with_context(|| header_path.display().to_string())?;
    let difference = if stored.plan != header.plan {
        "another plan"
    } else if stored.commit != header.commit {
        "another commit"
    } else {
        return Ok(());
    };
    bail!("{}: holds results of {difference}; choose another --out, or remove it", dir.display())
}

/// Reads the stored results and returns them by run number; without a file there are none. An incomplete last
/// line, which an interrupted write leaves behind, is skipped.
fn read_lines(path: &Path, plan: &Plan) -> anyhow::Result<BTreeMap<u64, Row>> {
    let mut rows = BTreeMap::new();
    let Ok(file) = File::open(path) else { return Ok(rows) };
    let mut file = BufReader::new(file);
    let mut line = String::new();
    for number in 1.. {
        line.clear();
        file.read_line(&mut line).with_context(|| path.display().to_string())?;
        if !line.ends_with('\n') {
            break;
        }
        let place = || format!("{}, line {number}", path.display());
        let row: Row = serde_json::from_str(&line).with_context(place)?;
        ensure!(
            belongs_to(&row, plan),
            "{}: not a result of this plan; choose another --out, or remove it",
            place()
        );
        rows.insert(row.run, row);
    }
    Ok(rows)
}

/// Whether the row has a run number, a seed and a number of values that fit the plan.
fn belongs_to(row: &Row, plan: &Plan) -> bool {
    row.run < plan.runs() && row.seed == plan.run(row.run).seed && row.values.len() == MEASURES.len()
}

/// Replaces the file of results atomically: writes `new_path`, then renames it to `path`.
fn rewrite_lines(new_path: &Path, path: &Path, rows: &BTreeMap<u64, Row>) -> anyhow::Result<()> {
    let mut text = String::new();
    for row in rows.values() {
        text.push_str(&serde_json::to_string(row)?);
        text.push('\n');
    }
    std::fs::write(new_path, text).with_context(|| new_path.display().to_string())?;
    std::fs::rename(new_path, path).with_context(|| path.display().to_string())
}

/// Converts rows to Arrow columns: run, seed, the level of each factor as text, the measures, the digest.
fn record_batch(plan: &Plan, rows: &[Row]) -> anyhow::Result<RecordBatch> {
    let mut fields = Vec::new();
    let mut columns: Vec<ArrayRef> = Vec::new();
    fields.push(Field::new("run", DataType::UInt64, false));
    columns.push(Arc::new(UInt64Array::from_iter_values(rows.iter().map(|row| row.run))));
    fields.push(Field::new("seed", DataType::UInt64, false));
    columns.push(Arc::new(UInt64Array::from_iter_values(rows.iter().map(|row| row.seed))));
    for (index, factor) in plan.factor.iter().enumerate() {
        fields.push(Field::new(&factor.name, DataType::Utf8, false));
        let level = |row: &Row| {
            let RunKey { cell, .. } = plan.run(row.run);
            plan.levels(cell).swap_remove(index)
        };
        columns.push(Arc::new(StringArray::from_iter_values(rows.iter().map(level))));
    }
    for (index, measure) in MEASURES.iter().enumerate() {
        let about = [("about".to_owned(), measure.about.to_owned())].into_iter().collect();
        fields.push(Field::new(measure.name, DataType::Float64, false).with_metadata(about));
        columns.push(Arc::new(Float64Array::from_iter_values(rows.iter().map(|row| row.values[index]))));
    }
    fields.push(Field::new("digest", DataType::Utf8, false));
    columns.push(Arc::new(StringArray::from_iter_values(rows.iter().map(|row| &row.digest))));
    Ok(RecordBatch::try_new(Arc::new(Schema::new(fields)), columns)?)
}
