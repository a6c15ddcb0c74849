//! The saved snapshot: the last good settings and list, in one file that is whole or not there.
//!
//! The first line holds the format's version, the checksum and the length of what follows, which is JSON.

use crate::settings::{EndpointList, Settings};
use linnetcart_telemetry::settings::Telemetry;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

const MAGIC: &str = "linnetcart-snapshot";
const VERSION: u32 = 1;
const FILE: &str = "snapshot";

/// What is saved.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The settings of the next start.
    pub settings: Option<Settings>,
    /// The list.
    pub list: EndpointList,
    /// What is reported, and where.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub telemetry: Option<Telemetry>,
}

/// As bytes of a file.
pub fn encode(saved: &Snapshot) -> Result<Vec<u8>, String> {
    sealed(MAGIC, saved)
}

/// Reads the bytes of a file; an error says what is wrong with them.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, String> {
    opened(MAGIC, bytes)
}

/// Anything as bytes of a file that begins with this word.
pub fn sealed<T: Serialize>(magic: &str, what: &T) -> Result<Vec<u8>, String> {
    let body = serde_json::to_vec(what).map_err(|e| e.to_string())?;
    let mut out = format!("{magic} {VERSION} {:08x} {}\n", crc32c::crc32c(&body), body.len()).into_bytes();
    out.extend(body);
    Ok(out)
}

/// Reads what [`sealed`] made.
pub fn opened<T: DeserializeOwned>(wanted: &str, bytes: &[u8]) -> Result<T, String> {
    let line = bytes.iter().position(|&b| b == b'\n').ok_or("it has no first line")?;
    let head = std::str::from_utf8(&bytes[..line]).map_err(|_| "its first line is no text")?;
    let words: Vec<&str> = head.split(' ').collect();
    let &[magic, version, sum, length] = words.as_slice() else { return Err("its first line is cut".into()) };
    if magic != wanted {
        return Err("it is no snapshot of this program".into());
    }
    if version != VERSION.to_string() {
        return Err(format!("it has format {version}; this program reads {VERSION}"));
    }
    let body = &bytes[line + 1..];
    if length.parse() != Ok(body.len()) {
        return Err(format!("it holds {} bytes instead of {length}", body.len()));
    }
    if u32::from_str_radix(sum, 16) != Ok(crc32c::crc32c(body)) {
        return Err("its checksum is wrong".into());
    }
    serde_json::from_slice(body).map_err(|e| e.to_string())
}

/// Writes the snapshot aside, syncs it, and puts it in the place of the one before.
pub fn save(dir: &Path, saved: &Snapshot) -> Result<(), String> {
    replace(dir, FILE, &encode(saved)?)
}

/// Writes a file aside, syncs it, and puts it in the place of the one before.
pub fn replace(dir: &Path, name: &str, bytes: &[u8]) -> Result<(), String> {
    let write = || -> io::Result<()> {
        let aside = dir.join(format!("{name}.new"));
        let mut file = File::create(&aside)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&aside, dir.join(name))?;
        File::open(dir)?.sync_all()
    };
    write().map_err(|e| format!("{}: {e}", dir.join(name).display()))
}

/// What was found at the start.
#[derive(Debug)]
pub enum LoadedSnapshot {
    /// Nothing.
    None,
    /// A good snapshot.
    Good(Box<Snapshot>),
    /// One that is of no use; it was moved aside to this place.
    Damaged {
        /// What is wrong with it.
        why: String,
        /// Where it is now.
        aside: PathBuf,
    },
}

/// Reads the snapshot of a folder, which is made if it is not there.
pub fn load(dir: &Path) -> io::Result<LoadedSnapshot> {
    fs::create_dir_all(dir)?;
    let path = dir.join(FILE);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(LoadedSnapshot::None),
        Err(e) => return Err(e),
    };
    match decode(&bytes) {
        Ok(saved) => Ok(LoadedSnapshot::Good(Box::new(saved))),
        Err(why) => Ok(LoadedSnapshot::Damaged { why, aside: set_aside(dir, FILE)? }),
    }
}

/// Moves a file that is of no use out of the way, and says to where.
pub fn set_aside(dir: &Path, name: &str) -> io::Result<PathBuf> {
    let free = |n: &u32| !dir.join(format!("{name}.damaged-{n}")).exists();
    let n = (1..=u32::MAX).find(free).unwrap_or(0);
    let aside = dir.join(format!("{name}.damaged-{n}"));
    fs::rename(dir.join(name), &aside)?;
    Ok(aside)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn saved() -> Snapshot {
        let settings = Settings::parse(crate::settings::tests::sample().to_string().as_bytes()).unwrap();
        let telemetry = Some(Telemetry { interval_s: 5, ..Telemetry::default() });
        Snapshot {
            settings: Some(settings),
            list: EndpointList { version: 3, ..EndpointList::default() },
            telemetry,
        }
    }

    #[test]
    fn every_cut_and_every_flipped_bit_is_found() {
        let good = encode(&saved()).unwrap();
        assert_eq!(decode(&good).unwrap(), saved());
        for cut in 0..good.len() {
            assert!(decode(&good[..cut]).is_err(), "cut at {cut}");
        }
        for at in 0..good.len() {
            let mut bad = good.clone();
            bad[at] ^= 0x10;
            assert!(decode(&bad).is_err(), "flipped at {at}");
        }
    }

    #[test]
    fn one_of_another_version_says_so() {
        let good = String::from_utf8(encode(&saved()).unwrap()).unwrap();
        let other = good.replacen("snapshot 1 ", "snapshot 2 ", 1);
        assert!(decode(other.as_bytes()).unwrap_err().contains("format 2"));
    }

    #[test]
    fn a_damaged_one_is_set_aside_and_kept() {
        let dir = std::env::temp_dir().join(format!("linnetcart-snapshot-{}", std::process::id()));
        assert!(matches!(load(&dir).unwrap(), LoadedSnapshot::None));
        save(&dir, &saved()).unwrap();
        assert!(matches!(load(&dir).unwrap(), LoadedSnapshot::Good(s) if *s == saved()));
        for n in 1..=2 {
            fs::write(dir.join(FILE), b"linnetcart-snapshot 1 0 9\nhalf").unwrap();
            let LoadedSnapshot::Damaged { aside, .. } = load(&dir).unwrap() else {
                panic!("it was believed")
            };
            assert_eq!(aside, dir.join(format!("snapshot.damaged-{n}")));
            assert!(matches!(load(&dir).unwrap(), LoadedSnapshot::None));
        }
        fs::remove_dir_all(&dir).unwrap();
    }
}
