//! The directory of a journal and its files.

use crate::{read_frames, FileDamage, JournalError, Record, RecordRef, Salt, COMPLETE_KIND};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The start of each file's name; the file's number follows.
const FILE_NAME_PREFIX: &str = "journal-";

/// A directory with a journal. Records are appended to one file until that is replaced by the next.
#[derive(Debug)]
pub struct JournalDirectory {
    path: PathBuf,
    /// Number of the newest file.
    number: u64,
    /// The file that is appended to; `None` until this process has begun one.
    file: Option<File>,
    salt: Salt,
    size_bytes: u64,
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

impl JournalDirectory {
    /// Opens the directory and reads the records of a previous process. Nothing may be appended before the
    /// first [`JournalDirectory::replace`].
    pub fn open(path: &Path) -> Result<OpenedJournal, JournalError> {
        let numbers = file_numbers(path)?;
        let mut records = Vec::new();
        let mut damage = Vec::new();
        for &number in numbers.iter().rev() {
            let file = file_path(path, number);
            let found = read_frames(&fs::read(&file)?);
            if found.torn_bytes > 0 {
                damage.push(FileDamage::TornEnd { path: file.clone(), bytes: found.torn_bytes });
            }
            if found.damaged_bytes > 0 {
                damage.push(FileDamage::Damaged { path: file, bytes: found.damaged_bytes });
            }
            records.splice(0..0, found.records);
            // Older files are read only while no newer one is complete.
            if found.complete {
                break;
            }
        }
        let directory = JournalDirectory {
            path: path.to_owned(),
            number: numbers.last().copied().unwrap_or(0),
            file: None,
            salt: Salt(0),
            size_bytes: 0,
        };
        Ok(OpenedJournal { directory, records, damage })
    }

    /// Returns the size of the present file in bytes.
    pub fn size(&self) -> u64 {
        self.size_bytes
    }

    /// Appends records. After an error, none of them is in the file.
    pub fn append<'a>(
        &mut self,
        records: impl IntoIterator<Item = RecordRef<'a>>,
    ) -> Result<(), JournalError> {
        let Some(file) = &mut self.file else { return Err(JournalError::NoFile) };
        let mut bytes = Vec::new();
        for record in records {
            self.salt.append_frame(record.kind, record.payload, &mut bytes);
        }
        if let Err(error) = file.write_all(&bytes) {
            // Removes a partial write, which a reader would report as damage. Best effort: the write's error
            // is returned.
            let _ = file.set_len(self.size_bytes);
            return Err(error.into());
        }
        self.size_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Begins a new file with these records and removes the previous files.
    ///
    /// After an error in writing the new file, the previous one stays in use. If only the removal of a
    /// previous file fails, that error is returned although the new file is complete and in use already; the
    /// next call tries to remove the remaining files again.
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
        let new_path = file_path(&self.path, self.number + 1);
        let file = create_file(&new_path, &bytes).inspect_err(|_| {
            let _ = fs::remove_file(&new_path);
        })?;
        self.number += 1;
        self.file = Some(file);
        self.salt = salt;
        self.size_bytes = bytes.len() as u64;
        self.remove_older_files()?;
        Ok(())
    }

    fn remove_older_files(&self) -> io::Result<()> {
        for number in file_numbers(&self.path)? {
            if number < self.number {
                fs::remove_file(file_path(&self.path, number))?;
            }
        }
        Ok(())
    }
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
