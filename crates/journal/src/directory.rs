//! The directory of a journal and its files.

use crate::frame::{encode_batch, BatchMode};
use crate::{read_frames, FileDamage, JournalError, Record, RecordRef, Salt, COMPLETE_KIND, MAX_BATCH_BYTES};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The start of each file's name; the file's number follows.
const FILE_NAME_PREFIX: &str = "journal-";

/// The unit in which the space that a file takes is counted.
const BLOCK_BYTES: u64 = 512;

/// A directory with a journal. Records are appended to one file until that is replaced by the next.
#[derive(Debug)]
pub struct JournalDirectory {
    path: PathBuf,
    capacity_bytes: u64,
    /// Number of the newest file, or of one that could not be begun: no number is used twice.
    number: u64,
    /// The file that is appended to; `None` until this process has begun one.
    file: Option<CurrentFile>,
    /// Files of other numbers, with their sizes, that may still be there.
    other_files: BTreeMap<u64, u64>,
}

/// The file that is appended to.
#[derive(Debug)]
struct CurrentFile {
    file: File,
    number: u64,
    salt: Salt,
    /// Number of valid bytes.
    size_bytes: u64,
    /// A failed write may have left invalid bytes behind the valid ones.
    has_torn_end: bool,
}

/// The journal of a previous process.
#[derive(Debug)]
pub struct OpenedJournal {
    /// The directory, for writing.
    pub directory: JournalDirectory,
    /// The records that could be read, in the order of their appending.
    pub records: Vec<Record>,
    /// Damage in the files that were read, newest file first.
    pub damage: Vec<FileDamage>,
}

/// What was read of the files of a directory.
#[derive(Debug, Default)]
struct ReadFiles {
    records: Vec<Record>,
    damage: Vec<FileDamage>,
}

impl JournalDirectory {
    /// Opens the directory and reads the records of a previous process. Nothing may be appended before the
    /// first [`JournalDirectory::replace`]. The files take at most `capacity_bytes` together.
    ///
    /// A file that cannot be read is an error and never counts as empty.
    pub fn open(path: &Path, capacity_bytes: u64) -> Result<OpenedJournal, JournalError> {
        let numbers = file_numbers(path)?;
        let ReadFiles { records, damage } = read_files(path, &numbers)?;
        let mut other_files = BTreeMap::new();
        for &number in &numbers {
            other_files.insert(number, fs::metadata(file_path(path, number))?.len());
        }
        let number = numbers.last().copied().unwrap_or(0);
        let path = path.to_owned();
        let directory = JournalDirectory { path, capacity_bytes, number, file: None, other_files };
        Ok(OpenedJournal { directory, records, damage })
    }

    /// Returns the size of the present file in bytes.
    pub fn size(&self) -> u64 {
        self.file.as_ref().map_or(0, |current| current.size_bytes)
    }

    /// Whether files may be left that are of no use any more.
    pub fn has_old_files(&self) -> bool {
        self.file.is_some() && !self.other_files.is_empty()
    }

    /// Appends records, all of them or none. After an error, none of them is in the file.
    pub fn append<'a>(
        &mut self,
        records: impl IntoIterator<Item = RecordRef<'a>>,
    ) -> Result<(), JournalError> {
        let Some(current) = &self.file else { return Err(JournalError::NoFile) };
        let records: Vec<RecordRef<'a>> = records.into_iter().collect();
        let bytes = match records[..] {
            [] => return Ok(()),
            [record] => frame(current.salt, record.kind, record.payload)?,
            _ => frame(current.salt, COMPLETE_KIND, &encode_batch(BatchMode::Append, records))?,
        };
        self.append_bytes(&bytes)
    }

    /// Appends a snapshot to the present file: these records replace all before them.
    pub fn append_snapshot<'a>(
        &mut self,
        records: impl IntoIterator<Item = RecordRef<'a>>,
    ) -> Result<(), JournalError> {
        let Some(current) = &self.file else { return Err(JournalError::NoFile) };
        let bytes = frame(current.salt, COMPLETE_KIND, &encode_batch(BatchMode::Replace, records))?;
        self.append_bytes(&bytes)
    }

    fn append_bytes(&mut self, bytes: &[u8]) -> Result<(), JournalError> {
        let length = bytes.len() as u64;
        let available = self.available_bytes();
        let Some(current) = &mut self.file else { return Err(JournalError::NoFile) };
        if length > available {
            return Err(JournalError::NoCapacity { bytes: length, available });
        }
        current.remove_torn_end()?;
        if let Err(error) = current.file.write_all(bytes) {
            current.has_torn_end = true;
            // Best effort: the next write tries again, and a reader ignores invalid bytes.
            let _ = current.remove_torn_end();
            return Err(error.into());
        }
        current.size_bytes += length;
        Ok(())
    }

    /// Begins a new file with these records and removes the previous files.
    ///
    /// After an error, the previous file stays in use. Files that cannot be removed are of no effect;
    /// [`JournalDirectory::remove_old_files`] tries to remove them again.
    pub fn replace<'a>(
        &mut self,
        salt: Salt,
        records: impl IntoIterator<Item = RecordRef<'a>>,
    ) -> Result<(), JournalError> {
        let mut bytes = salt.header();
        for record in records {
            salt.append_frame(record.kind, record.payload, &mut bytes);
        }
        salt.append_frame(COMPLETE_KIND, &[], &mut bytes);
        let length = bytes.len() as u64;
        if length > self.available_bytes() {
            self.remove_old_files();
        }
        let available = self.available_bytes();
        if length > available {
            return Err(JournalError::NoCapacity { bytes: length, available });
        }
        self.number += 1;
        let number = self.number;
        // A file that could not be begun may be there all the same, in part.
        self.other_files.insert(number, length);
        let file = create_file(&file_path(&self.path, number), &bytes).inspect_err(|_| {
            self.remove_file(number);
        })?;
        self.other_files.remove(&number);
        let current = CurrentFile { file, number, salt, size_bytes: length, has_torn_end: false };
        if let Some(previous) = self.file.replace(current) {
            self.other_files.insert(previous.number, previous.size_bytes);
        }
        self.remove_old_files();
        Ok(())
    }

    /// Tries to remove the files that are of no use any more. Before this process has begun a file, all are.
    pub fn remove_old_files(&mut self) {
        if self.file.is_none() {
            return;
        }
        let numbers: Vec<u64> = self.other_files.keys().copied().collect();
        for number in numbers {
            self.remove_file(number);
        }
    }

    /// Removes a file that is not in use.
    fn remove_file(&mut self, number: u64) {
        match fs::remove_file(file_path(&self.path, number)) {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(_) => return,
        }
        self.other_files.remove(&number);
    }

    /// Returns how many bytes may still be written.
    fn available_bytes(&self) -> u64 {
        let current = self.file.as_ref().map(|current| current.size_bytes);
        let sizes = self.other_files.values().copied().chain(current);
        // Each file takes whole blocks, and one more is begun by whatever is written.
        let taken: u64 = sizes.map(|bytes| (bytes.div_ceil(BLOCK_BYTES) + 1) * BLOCK_BYTES).sum();
        self.capacity_bytes.saturating_sub(taken + BLOCK_BYTES)
    }
}

impl CurrentFile {
    /// Removes what a failed write has left, so that the space is not lost.
    fn remove_torn_end(&mut self) -> io::Result<()> {
        if self.has_torn_end {
            self.file.set_len(self.size_bytes)?;
            self.has_torn_end = false;
        }
        Ok(())
    }
}

/// Reads the newest complete file. Without one, all files together hold what there is.
fn read_files(directory: &Path, numbers: &[u64]) -> io::Result<ReadFiles> {
    let mut files = ReadFiles::default();
    for &number in numbers.iter().rev() {
        let path = file_path(directory, number);
        let found = read_frames(&fs::read(&path)?);
        if found.torn_bytes > 0 {
            files.damage.push(FileDamage::TornEnd { path: path.clone(), bytes: found.torn_bytes });
        }
        if found.damaged_bytes > 0 {
            files.damage.push(FileDamage::Damaged { path, bytes: found.damaged_bytes });
        }
        if found.complete {
            files.records = found.records;
            break;
        }
        files.records.splice(0..0, found.records);
    }
    Ok(files)
}

/// Returns a frame, unless it would be longer than what may be written at once.
fn frame(salt: Salt, kind: u8, payload: &[u8]) -> Result<Vec<u8>, JournalError> {
    if payload.len() > MAX_BATCH_BYTES {
        let available = MAX_BATCH_BYTES as u64;
        return Err(JournalError::NoCapacity { bytes: payload.len() as u64, available });
    }
    let mut bytes = Vec::new();
    salt.append_frame(kind, payload, &mut bytes);
    Ok(bytes)
}

/// Creates a file with these bytes for appending. It is an error if the file exists.
fn create_file(path: &Path, bytes: &[u8]) -> io::Result<File> {
    let mut file = OpenOptions::new().append(true).create_new(true).open(path)?;
    file.write_all(bytes)?;
    Ok(file)
}

fn file_path(directory: &Path, number: u64) -> PathBuf {
    directory.join(format!("{FILE_NAME_PREFIX}{number:010}"))
}

/// Returns the numbers of the journal's files in ascending order; other files are ignored.
fn file_numbers(directory: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(directory)? {
        let name = entry?.file_name();
        let Some(number) = name.to_str().and_then(|name| name.strip_prefix(FILE_NAME_PREFIX)) else {
            continue;
        };
        if let Ok(number) = number.parse::<u64>() {
            numbers.push(number);
        }
    }
    numbers.sort_unstable();
    Ok(numbers)
}
