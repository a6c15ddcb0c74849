//! The files of a journal in their directory: reading, appending, replacement and removal.

use crate::frame::{encode_batch, BatchMode};
use crate::{
    read_frames, FileDamage, JournalError, Record, RecordRef, Salt, CONTROL_KIND, FRAME_OVERHEAD_BYTES,
    MAX_BATCH_BYTES,
};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Start of each file's name, which the file's number follows, in ten digits.
const FILE_NAME_PREFIX: &str = "journal-";

/// File sizes count against the capacity in blocks of this size, the unit of `st_blocks`.
const BLOCK_BYTES: u64 = 512;

/// A directory with the files of a journal. Records are appended to one file until the next one replaces it.
#[derive(Debug)]
pub struct JournalDirectory {
    path: PathBuf,
    capacity_bytes: u64,
    /// Highest number used for a file, also for one whose creation failed: no number is used twice.
    last_number: u64,
    /// The file that records are appended to; `None` until this process has created one.
    file: Option<CurrentFile>,
    /// Sizes in bytes of the other files that may still exist, by number.
    other_files: BTreeMap<u64, u64>,
}

/// The file that records are appended to.
#[derive(Debug)]
struct CurrentFile {
    file: File,
    number: u64,
    salt: Salt,
    /// Number of valid bytes in the file.
    size_bytes: u64,
    /// A failed write may have left invalid bytes after the valid ones.
    has_torn_end: bool,
}

/// The journal of a previous process.
#[derive(Debug)]
pub struct OpenedJournal {
    /// The directory, for writing.
    pub directory: JournalDirectory,
    /// The records that could be read, in the order in which they were appended.
    pub records: Vec<Record>,
    /// The damage in the files that were read, newest file first.
    pub damage: Vec<FileDamage>,
}

/// The records and the damage of the files of a directory.
#[derive(Debug, Default)]
struct ReadFiles {
    records: Vec<Record>,
    damage: Vec<FileDamage>,
}

impl JournalDirectory {
    /// Opens the directory and reads the records of a previous process. Nothing may be appended before the
    /// first [`JournalDirectory::replace`]. The files take at most `capacity_bytes` together.
    ///
    /// # Errors
    ///
    /// If the directory, a needed file or the size of a file cannot be read: an unreadable file never counts
    /// as empty.
    pub fn open(path: &Path, capacity_bytes: u64) -> Result<OpenedJournal, JournalError> {
        let numbers = file_numbers(path)?;
        let ReadFiles { records, damage } = read_files(path, &numbers)?;
        let mut other_files = BTreeMap::new();
        for &number in &numbers {
            other_files.insert(number, fs::metadata(file_path(path, number))?.len());
        }
        let last_number = numbers.last().copied().unwrap_or(0);
        let path = path.to_owned();
        let directory = JournalDirectory { path, capacity_bytes, last_number, file: None, other_files };
        Ok(OpenedJournal { directory, records, damage })
    }

    /// Returns the size of the current file in bytes.
    pub fn size(&self) -> u64 {
        self.file.as_ref().map_or(0, |current| current.size_bytes)
    }

    /// Whether files that the current one has replaced may still exist.
    pub fn has_old_files(&self) -> bool {
        self.file.is_some() && !self.other_files.is_empty()
    }

    /// Appends records atomically: after an error, a reader finds none of them.
    pub fn append<'a>(
        &mut self,
        records: impl IntoIterator<Item = RecordRef<'a>>,
    ) -> Result<(), JournalError> {
        let Some(current) = &self.file else { return Err(JournalError::NoFile) };
        let records: Vec<RecordRef<'a>> = records.into_iter().collect();
        let bytes = match records[..] {
            [] => return Ok(()),
            [record] => encode_frame(current.salt, record.kind, record.payload)?,
            _ => encode_frame(current.salt, CONTROL_KIND, &encode_batch(BatchMode::Append, records))?,
        };
        self.append_bytes(&bytes)
    }

    /// Appends a snapshot to the current file atomically: these records replace all before them. After an
    /// error, the earlier records stay valid.
    pub fn append_snapshot<'a>(
        &mut self,
        records: impl IntoIterator<Item = RecordRef<'a>>,
    ) -> Result<(), JournalError> {
        let Some(current) = &self.file else { return Err(JournalError::NoFile) };
        let bytes = encode_frame(current.salt, CONTROL_KIND, &encode_batch(BatchMode::Replace, records))?;
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

    /// Creates a new file with these records and removes the previous files.
    ///
    /// After an error, the previous file stays in use. Previous files that cannot be removed only take
    /// capacity, since a reader stops at the newest complete file; [`JournalDirectory::remove_old_files`]
    /// retries the removal.
    pub fn replace<'a>(
        &mut self,
        salt: Salt,
        records: impl IntoIterator<Item = RecordRef<'a>>,
    ) -> Result<(), JournalError> {
        let records: Vec<RecordRef<'a>> = records.into_iter().collect();
        let mut bytes = salt.header();
        let payload_bytes: usize = records.iter().map(|record| record.payload.len()).sum();
        bytes.reserve_exact(payload_bytes + (records.len() + 1) * FRAME_OVERHEAD_BYTES);
        for record in records {
            salt.append_frame(record.kind, record.payload, &mut bytes);
        }
        salt.append_frame(CONTROL_KIND, &[], &mut bytes);
        let length = bytes.len() as u64;
        if length > self.available_bytes() {
            self.remove_old_files();
        }
        let available = self.available_bytes();
        if length > available {
            return Err(JournalError::NoCapacity { bytes: length, available });
        }
        self.last_number += 1;
        let number = self.last_number;
        // If the creation fails, a partial file may remain.
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

    /// Tries to remove all files but the current one. Does nothing until this process has created a file:
    /// until then, the files of the previous process hold the records.
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

    /// Returns the number of bytes that may still be written: with block size B,
    /// capacity - Σ over files (⌈bytes / B⌉ + 1) · B - B.
    fn available_bytes(&self) -> u64 {
        let current = self.file.as_ref().map(|current| current.size_bytes);
        let sizes = self.other_files.values().copied().chain(current);
        // Each file takes whole blocks, and a write may begin one more, in an existing file or a new one.
        let taken: u64 = sizes.map(|bytes| (bytes.div_ceil(BLOCK_BYTES) + 1) * BLOCK_BYTES).sum();
        self.capacity_bytes.saturating_sub(taken + BLOCK_BYTES)
    }
}

impl CurrentFile {
    /// Truncates the invalid bytes that a failed write has left, so that they take no space.
    fn remove_torn_end(&mut self) -> io::Result<()> {
        if self.has_torn_end {
            self.file.set_len(self.size_bytes)?;
            self.has_torn_end = false;
        }
        Ok(())
    }
}

/// Reads the files from the newest back to the first complete one, and returns the records of that file.
/// Without a complete file, returns the records of all files in the order in which they were appended.
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

/// Encodes a frame. It is an error if the payload exceeds [`MAX_BATCH_BYTES`].
fn encode_frame(salt: Salt, kind: u8, payload: &[u8]) -> Result<Vec<u8>, JournalError> {
    if payload.len() > MAX_BATCH_BYTES {
        let available = MAX_BATCH_BYTES as u64;
        return Err(JournalError::NoCapacity { bytes: payload.len() as u64, available });
    }
    let mut bytes = Vec::new();
    salt.append_frame(kind, payload, &mut bytes);
    Ok(bytes)
}

/// Creates a file with these bytes and opens it for appending. It is an error if the file exists.
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
