//! The files of a journal.

use crate::{read_frames, Record, Salt, COMPLETE};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const PREFIX: &str = "journal-";

/// A folder with a journal in it. All that it appends goes to one file, until that is replaced by the next.
#[derive(Debug)]
pub struct JournalDirectory {
    dir: PathBuf,
    number: u64,
    /// None until the first file of this process is there.
    file: Option<File>,
    salt: Salt,
    size: u64,
}

fn path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("{PREFIX}{number:010}"))
}

/// The journal's files in a folder, by number.
fn files(dir: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(dir)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|n| n.strip_prefix(PREFIX)).and_then(|n| n.parse::<u64>().ok());
        numbers.extend(number);
    }
    numbers.sort_unstable();
    Ok(numbers)
}

impl JournalDirectory {
    /// Opens the folder and reads what an earlier process left, in its order, with a line for each thing that
    /// could not be read. Nothing may be appended before the first [`Folder::replace`].
    pub fn open(dir: &Path) -> io::Result<(JournalDirectory, Vec<Record>, Vec<String>)> {
        let numbers = files(dir)?;
        let (mut records, mut lines) = (Vec::new(), Vec::new());
        for &number in numbers.iter().rev() {
            let at = path(dir, number);
            let found = read_frames(&fs::read(&at)?);
            if found.torn > 0 {
                lines.push(format!("{}: {} bytes at the end are no record", at.display(), found.torn));
            }
            if found.damaged > 0 {
                lines.push(format!("{}: {} bytes are damaged", at.display(), found.damaged));
            }
            // An older file is wanted only where no newer one holds all of it.
            records.splice(0..0, found.records);
            if found.complete {
                break;
            }
        }
        let number = numbers.last().copied().unwrap_or(0);
        let folder = JournalDirectory { dir: dir.to_owned(), number, file: None, salt: Salt(0), size: 0 };
        Ok((folder, records, lines))
    }

    /// Bytes of the file that is appended to.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// Appends records. After an error nothing of them is there.
    pub fn append<'a>(&mut self, records: impl IntoIterator<Item = (u8, &'a [u8])>) -> io::Result<()> {
        let Some(file) = &mut self.file else { return Err(io::Error::other("the journal has no file yet")) };
        let mut bytes = Vec::new();
        for (kind, payload) in records {
            self.salt.frame(kind, payload, &mut bytes);
        }
        if let Err(e) = file.write_all(&bytes) {
            // What is left behind of it would be skipped as damage; better not to leave it.
            let _ = file.set_len(self.size);
            return Err(e);
        }
        self.size += bytes.len() as u64;
        Ok(())
    }

    /// Begins a new file with the records that are still wanted, and removes those before. After an error the
    /// old file goes on.
    pub fn replace<'a>(
        &mut self,
        salt: Salt,
        records: impl IntoIterator<Item = (u8, &'a [u8])>,
    ) -> io::Result<()> {
        let mut bytes = salt.header();
        for (kind, payload) in records {
            salt.frame(kind, payload, &mut bytes);
        }
        salt.frame(COMPLETE, &[], &mut bytes);
        let at = path(&self.dir, self.number + 1);
        let begin = || -> io::Result<File> {
            let mut file = OpenOptions::new().append(true).create_new(true).open(&at)?;
            file.write_all(&bytes)?;
            Ok(file)
        };
        let file = begin().inspect_err(|_| {
            let _ = fs::remove_file(&at);
        })?;
        self.number += 1;
        (self.file, self.salt, self.size) = (Some(file), salt, bytes.len() as u64);
        for number in files(&self.dir)?.into_iter().filter(|&n| n < self.number) {
            fs::remove_file(path(&self.dir, number))?;
        }
        Ok(())
    }
}
