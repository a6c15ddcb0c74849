//! The snapshot file: the settings, the endpoint list and the settings of telemetry. It is replaced
//! atomically, so that a crash leaves either the old or the new file.
//!
//! The header line of a file has four words: magic word, version of the format, CRC-32C of the content in
//! hexadecimal, and length of the content in bytes. The content follows in JSON. The snapshot of the counters
//! has the same format.

use crate::settings::{EndpointList, Settings};
use linnetcart_telemetry::settings::Telemetry;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// Magic word of a snapshot of the settings.
const MAGIC: &str = "linnetcart-snapshot";
/// Version of the format that is written, and the only one that can be read.
const FORMAT_VERSION: u32 = 1;
const FILE_NAME: &str = "snapshot";

/// Why a file cannot be read or written. The text is part of `snapshot_trouble` in `GET /status`.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The header line is not terminated.
    #[error("it has no first line")]
    NoHeader,
    /// The header line is not UTF-8.
    #[error("its first line is no text")]
    HeaderNotUtf8,
    /// The header line does not have four words.
    #[error("its first line is cut")]
    MalformedHeader,
    /// The first word of the header line is not the expected magic word.
    #[error("it is no snapshot of this program")]
    WrongMagic,
    /// The version of the format is not supported.
    #[error("it has format {found}; this program reads {FORMAT_VERSION}")]
    UnsupportedVersion {
        /// The version in the file.
        found: String,
    },
    /// The content does not have the length in the header line.
    #[error("it holds {found} bytes instead of {expected}")]
    WrongLength {
        /// Number of bytes after the header line.
        found: usize,
        /// Length in the header line.
        expected: String,
    },
    /// The content does not have the checksum in the header line.
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
        /// The error of the operating system.
        source: io::Error,
    },
}

/// The content of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Settings that take effect at the next start; `None` if none were ever put.
    pub settings: Option<Settings>,
    /// Endpoint list in force.
    pub list: EndpointList,
    /// Settings of telemetry; `None` if none were ever put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub telemetry: Option<Telemetry>,
}

/// Encodes a snapshot as the bytes of its file.
///
/// # Errors
/// Fails if the snapshot cannot be serialized to JSON.
pub fn encode(snapshot: &Snapshot) -> Result<Vec<u8>, SnapshotError> {
    encode_file(MAGIC, snapshot)
}

/// Decodes the bytes of a snapshot file.
///
/// # Errors
/// Fails if the header line is invalid, or the content does not match it or cannot be parsed.
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

/// Decodes a file that [`encode_file`] encoded, and validates it against its header line.
pub(crate) fn decode_file<T: DeserializeOwned>(
    expected_magic: &str,
    bytes: &[u8],
) -> Result<T, SnapshotError> {
    let line_end = bytes.iter().position(|&byte| byte == b'\n').ok_or(SnapshotError::NoHeader)?;
    let header = std::str::from_utf8(&bytes[..line_end]).map_err(|_| SnapshotError::HeaderNotUtf8)?;
    let words: Vec<&str> = header.split(' ').collect();
    let &[magic, version, checksum, length] = words.as_slice() else {
        return Err(SnapshotError::MalformedHeader);
    };
    if magic != expected_magic {
        return Err(SnapshotError::WrongMagic);
    }
    if version != FORMAT_VERSION.to_string() {
        return Err(SnapshotError::UnsupportedVersion { found: version.to_owned() });
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

/// Replaces the snapshot of a state directory atomically.
///
/// # Errors
/// Fails if the snapshot cannot be serialized to JSON or the file cannot be written.
pub fn save(dir: &Path, snapshot: &Snapshot) -> Result<(), SnapshotError> {
    replace_file(dir, FILE_NAME, &encode(snapshot)?)
}

/// Replaces a file atomically: writes and syncs a temporary file, renames it over the old one, and syncs the
/// directory.
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
    /// A damaged snapshot, which was renamed.
    Damaged {
        /// What is wrong with the snapshot.
        error: SnapshotError,
        /// Path that the damaged snapshot was renamed to.
        moved_to: PathBuf,
    },
}

/// Loads the snapshot of a state directory, which is created if it does not exist. A damaged snapshot is
/// renamed, so that it can be examined.
///
/// # Errors
/// Fails if the directory cannot be created, the file cannot be read, or a damaged snapshot cannot be
/// renamed.
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

/// Renames a damaged file to `NAME.damaged-N` with the first free number, so that it is not read again.
/// Returns its new path.
pub(crate) fn move_aside(dir: &Path, name: &str) -> io::Result<PathBuf> {
    let path_for = |number: u32| dir.join(format!("{name}.damaged-{number}"));
    let free_number = (1..=u32::MAX).find(|&number| !path_for(number).exists()).unwrap_or(0);
    let moved_to = path_for(free_number);
    fs::rename(dir.join(name), &moved_to)?;
    Ok(moved_to)
}

#[cfg(test)]
mod tests;
