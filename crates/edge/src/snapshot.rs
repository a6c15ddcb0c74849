//! The saved snapshot: the last good settings and endpoint list, in one file that is complete or not there.
//!
//! The first line holds the format's version, the checksum and the length of what follows, which is JSON.

use crate::settings::{EndpointList, Settings};
use linnetcart_telemetry::settings::Telemetry;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// The first word of a snapshot.
const MAGIC: &str = "linnetcart-snapshot";
/// The version of the format.
const FORMAT_VERSION: u32 = 1;
const FILE_NAME: &str = "snapshot";

/// Why a file cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// It has no line that ends.
    #[error("it has no first line")]
    NoHeader,
    /// The first line is not UTF-8.
    #[error("its first line is no text")]
    HeaderNotText,
    /// The first line does not have all its words.
    #[error("its first line is cut")]
    HeaderCut,
    /// It begins with another word.
    #[error("it is no snapshot of this program")]
    OtherFile,
    /// It has another version of the format.
    #[error("it has format {found}; this program reads {FORMAT_VERSION}")]
    OtherFormat {
        /// The version in the file.
        found: String,
    },
    /// It is longer or shorter than its first line says.
    #[error("it holds {found} bytes instead of {expected}")]
    WrongLength {
        /// Bytes after the first line.
        found: usize,
        /// What the first line says.
        expected: String,
    },
    /// Its content is not what was written.
    #[error("its checksum is wrong")]
    WrongChecksum,
    /// The content cannot be read from, or written as, JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The file cannot be written.
    #[error("{}: {source}", path.display())]
    Write {
        /// Where.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
}

/// What is saved.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The settings of the next start.
    pub settings: Option<Settings>,
    /// The endpoint list.
    pub list: EndpointList,
    /// What is reported, and where.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub telemetry: Option<Telemetry>,
}

/// The bytes of a snapshot's file.
pub fn encode(snapshot: &Snapshot) -> Result<Vec<u8>, SnapshotError> {
    encode_file(MAGIC, snapshot)
}

/// Reads the bytes of a snapshot's file.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    decode_file(MAGIC, bytes)
}

/// Anything as bytes of a file that begins with this word.
pub(crate) fn encode_file<T: Serialize>(magic: &str, content: &T) -> Result<Vec<u8>, SnapshotError> {
    let body = serde_json::to_vec(content)?;
    let checksum = crc32c::crc32c(&body);
    let mut file = format!("{magic} {FORMAT_VERSION} {checksum:08x} {}\n", body.len()).into_bytes();
    file.extend(body);
    Ok(file)
}

/// Reads what [`encode_file`] made.
pub(crate) fn decode_file<T: DeserializeOwned>(
    expected_magic: &str,
    bytes: &[u8],
) -> Result<T, SnapshotError> {
    let line_end = bytes.iter().position(|&byte| byte == b'\n').ok_or(SnapshotError::NoHeader)?;
    let header = std::str::from_utf8(&bytes[..line_end]).map_err(|_| SnapshotError::HeaderNotText)?;
    let words: Vec<&str> = header.split(' ').collect();
    let &[magic, version, checksum, length] = words.as_slice() else { return Err(SnapshotError::HeaderCut) };
    if magic != expected_magic {
        return Err(SnapshotError::OtherFile);
    }
    if version != FORMAT_VERSION.to_string() {
        return Err(SnapshotError::OtherFormat { found: version.to_owned() });
    }
    let body = &bytes[line_end + 1..];
    if length.parse() != Ok(body.len()) {
        return Err(SnapshotError::WrongLength { found: body.len(), expected: length.to_owned() });
    }
    if u32::from_str_radix(checksum, 16) != Ok(crc32c::crc32c(body)) {
        return Err(SnapshotError::WrongChecksum);
    }
    Ok(serde_json::from_slice(body)?)
}

/// Puts a snapshot in the place of the one before.
pub fn save(dir: &Path, snapshot: &Snapshot) -> Result<(), SnapshotError> {
    replace_file(dir, FILE_NAME, &encode(snapshot)?)
}

/// Writes a file aside, syncs it, and puts it in the place of the one before.
pub(crate) fn replace_file(dir: &Path, name: &str, bytes: &[u8]) -> Result<(), SnapshotError> {
    let write = || -> io::Result<()> {
        let new_path = dir.join(format!("{name}.new"));
        let mut file = File::create(&new_path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new_path, dir.join(name))?;
        File::open(dir)?.sync_all()
    };
    write().map_err(|source| SnapshotError::Write { path: dir.join(name), source })
}

/// What was found at the start.
#[derive(Debug)]
pub enum LoadedSnapshot {
    /// Nothing.
    None,
    /// A good snapshot.
    Good(Box<Snapshot>),
    /// A damaged one, which was moved aside.
    Damaged {
        /// What is wrong with it.
        error: SnapshotError,
        /// Where it is now.
        moved_to: PathBuf,
    },
}

/// Reads the snapshot of a directory, which is made if it is not there.
pub fn load(dir: &Path) -> io::Result<LoadedSnapshot> {
    fs::create_dir_all(dir)?;
    let bytes = match fs::read(dir.join(FILE_NAME)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(LoadedSnapshot::None),
        Err(error) => return Err(error),
    };
    match decode(&bytes) {
        Ok(snapshot) => Ok(LoadedSnapshot::Good(Box::new(snapshot))),
        Err(error) => Ok(LoadedSnapshot::Damaged { error, moved_to: move_aside(dir, FILE_NAME)? }),
    }
}

/// Moves a damaged file out of the way, and says to where.
pub(crate) fn move_aside(dir: &Path, name: &str) -> io::Result<PathBuf> {
    let path_for = |number: u32| dir.join(format!("{name}.damaged-{number}"));
    let free_number = (1..=u32::MAX).find(|&number| !path_for(number).exists()).unwrap_or(0);
    let moved_to = path_for(free_number);
    fs::rename(dir.join(name), &moved_to)?;
    Ok(moved_to)
}

#[cfg(test)]
mod tests;
