//! The disk of a host: its snapshot file, and the write of a new one that a crash may undo.

use linnetcart_edge::snapshot::{self, Snapshot};

#[cfg(test)]
mod tests;

/// What a crash does to a snapshot write that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// The new file had been renamed over the old one.
    AfterRename,
    /// It had not: the old file stays.
    BeforeRename,
}

/// A snapshot file. It is encoded only when something reads or damages it: couriers save far more often than
/// they load.
#[derive(Clone, Debug)]
struct SnapshotFile {
    snapshot: Snapshot,
    /// The share of the file's bytes that is readable, from its start on.
    readable_share: f64,
}

/// An unfinished write, and what it replaces.
#[derive(Clone, Debug)]
struct UnfinishedWrite {
    replaced: Option<SnapshotFile>,
}

/// A disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    file: Option<SnapshotFile>,
    unfinished: Option<UnfinishedWrite>,
    /// Number of snapshots set aside because they were damaged.
    pub set_aside: u32,
}

impl Disk {
    /// Replaces the snapshot. Until [`Disk::sync`] a crash may undo it.
    pub fn save(&mut self, snapshot: &Snapshot) {
        let replaced = self.file.replace(SnapshotFile { snapshot: snapshot.clone(), readable_share: 1.0 });
        // Of several unfinished writes a crash undoes all, so the first one says what comes back.
        self.unfinished.get_or_insert(UnfinishedWrite { replaced });
    }

    /// Makes what was written durable.
    pub fn sync(&mut self) {
        self.unfinished = None;
    }

    /// The program dies, perhaps in the middle of a write.
    pub fn crash(&mut self, crash: Crash) {
        let unfinished = self.unfinished.take();
        if let (Some(write), Crash::BeforeRename) = (unfinished, crash) {
            self.file = write.replaced;
        }
    }

    /// Bytes beyond this share of the snapshot become unreadable, as on a failing disk.
    pub fn damage(&mut self, readable_share: f64) {
        if let Some(file) = &mut self.file {
            file.readable_share = file.readable_share.min(readable_share.clamp(0.0, 1.0));
        }
    }

    /// Loads the snapshot, if there is an intact one. A damaged one is set aside.
    pub fn load(&mut self) -> Option<Snapshot> {
        self.unfinished = None;
        let file = self.file.as_ref()?;
        let bytes = snapshot::encode(&file.snapshot).unwrap_or_default();
        let readable = (bytes.len() as f64 * file.readable_share) as usize;
        let intact = snapshot::decode(&bytes[..readable]).ok();
        if intact.is_none() {
            self.set_aside += 1;
            self.file = None;
        }
        intact
    }
}
