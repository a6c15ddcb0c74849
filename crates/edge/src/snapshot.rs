//! The snapshot of the settings, the endpoint list and the settings of telemetry, in one file that is always
//! complete.
//!
//! The first line of a file has a magic word, the version of the format, and the checksum and length of the
//! content. The content follows in JSON. The files of the counters have the same format.

use crate::settings::{EndpointList, Settings};
use linnetcart_telemetry::settings::Telemetry;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// The first word of a snapshot.
const MAGIC: &str = "linnetcart-snapshot";
/// The supported version of the format.
const FORMAT_VERSION: u32 = 1;
const FILE_NAME: &str = "snapshot";

/// Why a file cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The first line is not terminated.
    #[error("it has no first line")]
    NoHeader,
    /// The first line is not UTF-8.
    #[error("its first line is no text")]
    HeaderNotText,
    /// The first line does not have four words.
    #[error("its first line is cut")]
    HeaderCut,
    /// The first word is not the magic word.
    #[error("it is no snapshot of this program")]
    OtherFile,
    /// The version of the format is not supported.
    #[error("it has format {found}; this program reads {FORMAT_VERSION}")]
    OtherFormat {
        /// The version in the file.
        found: String,
    },
    /// The content does not have the length in the first line.
    #[error("it holds {found} bytes instead of {expected}")]
    WrongLength {
        /// The number of bytes after the first line.
        found: usize,
        /// The length in the first line.
        expected: String,
    },
    /// The content does not have the checksum in the first line.
    #[error("its checksum is wrong")]
    WrongChecksum,
    /// The content cannot be parsed from, or serialized to, JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The file cannot be written.
    #[error("{}: {source}", path.display())]
    Write {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
}

/// The content of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The settings of the next start.
    pub settings: Option<Settings>,
    /// The endpoint list in force.
    pub list: EndpointList,
    /// The settings of telemetry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub telemetry: Option<Telemetry>,
}

/// Encodes the file of a snapshot.
pub fn encode(snapshot: &Snapshot) -> Result<Vec<u8>, SnapshotError> {
    encode_file(MAGIC, snapshot)
}

/// Decodes the file of a snapshot.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    decode_file(MAGIC, bytes)
}

/// Encodes a file with this magic word and content.
pub(crate) fn encode_file<T: Serialize>(magic: &str, content: &T) -> Result<Vec<u8>, SnapshotError> {
    let body = serde_json::to_vec(content)?;
    let checksum = crc32c::crc32c(&body);
    let mut file = format!("{magic} {FORMAT_VERSION} {checksum:08x} {}\n", body.len()).into_bytes();
    file.extend(body);
    Ok(file)
}

/// Decodes a file that [`encode_file`] encoded, and checks its first line.
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

/// Replaces the snapshot of a state directory.
pub fn save(dir: &Path, snapshot: &Snapshot) -> Result<(), SnapshotError> {
    replace_file(dir, FILE_NAME, &encode(snapshot)?)
}

/// Replaces a file: writes the new content to another file, syncs it, renames it, and syncs the directory.
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

/// The result of loading a snapshot.
#[derive(Debug)]
pub enum LoadedSnapshot {
    /// There is no snapshot.
    None,
    /// A valid snapshot.
    Good(Box<Snapshot>),
    /// A damaged snapshot, which was moved aside.
    Damaged {
        /// What is wrong with it.
        error: SnapshotError,
        /// Its path now.
        moved_to: PathBuf,
    },
}

/// Loads the snapshot of a state directory, which is created if it does not exist.
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

/// Renames a damaged file, so that it is not read again. Returns its new path.
pub(crate) fn move_aside(dir: &Path, name: &str) -> io::Result<PathBuf> {
    let path_for = |number: u32| dir.join(format!("{name}.damaged-{number}"));
    let free_number = (1..=u32::MAX).find(|&number| !path_for(number).exists()).unwrap_or(0);
    let moved_to = path_for(free_number);
    fs::rename(dir.join(name), &moved_to)?;
    Ok(moved_to)
}

#[cfg(test)]
mod tests;
