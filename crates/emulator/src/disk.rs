//! The disk of a host: its snapshot file, which is replaced by renaming a new file over it. A crash may undo
//! a rename that is not durable yet.

use linnetcart_edge::snapshot::{self, Snapshot};

#[cfg(test)]
mod tests;

/// Whether a crash during a snapshot write came before or after the rename that replaces the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// The new file had replaced the old one.
    AfterRename,
    /// The new file had not replaced the old one, which remains.
    BeforeRename,
}

/// A snapshot file. It is encoded only when it is loaded, because couriers save far more often than they
/// load.
#[derive(Clone, Debug)]
struct SnapshotFile {
    snapshot: Snapshot,
    /// The readable part of the file, as a fraction from its start: 1 for an undamaged file.
    readable_fraction: f64,
}

/// A snapshot write that is not durable yet, with the file that it replaces, if there was one.
#[derive(Clone, Debug)]
struct UnfinishedWrite {
    replaced: Option<SnapshotFile>,
}

/// The disk of a host.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    file: Option<SnapshotFile>,
    unfinished: Option<UnfinishedWrite>,
    /// Number of damaged snapshots that [`Disk::load`] has set aside.
    pub set_aside: u32,
}

impl Disk {
    /// Replaces the snapshot file. Until [`Disk::sync`] is called, a crash may restore the file that was
    /// replaced.
    pub fn save(&mut self, snapshot: &Snapshot) {
        let replaced = self.file.replace(SnapshotFile { snapshot: snapshot.clone(), readable_fraction: 1.0 });
        // A crash undoes all unfinished writes, so the first one determines which file remains.
        self.unfinished.get_or_insert(UnfinishedWrite { replaced });
    }

    /// Makes all writes durable.
    pub fn sync(&mut self) {
        self.unfinished = None;
    }

    /// Handles a crash of the program. If writes are not durable yet and the crash came before the rename,
    /// restores the file that the first of them replaced.
    pub fn crash(&mut self, crash: Crash) {
        let unfinished = self.unfinished.take();
        if let (Some(write), Crash::BeforeRename) = (unfinished, crash) {
            self.file = write.replaced;
        }
    }

    /// Makes the bytes beyond this fraction of the snapshot (0 to 1) unreadable, as on a failing disk.
    pub fn damage(&mut self, readable_fraction: f64) {
        if let Some(file) = &mut self.file {
            file.readable_fraction = file.readable_fraction.min(readable_fraction.clamp(0.0, 1.0));
        }
    }

    /// Loads the snapshot. Returns `None` if there is none or it is damaged; a damaged one is set aside.
    pub fn load(&mut self) -> Option<Snapshot> {
        self.unfinished = None;
        let file = self.file.as_ref()?;
        let bytes = snapshot::encode(&file.snapshot).unwrap_or_default();
        let readable = (bytes.len() as f64 * file.readable_fraction) as usize;
        let intact = snapshot::decode(&bytes[..readable]).ok();
        if intact.is_none() {
            self.set_aside += 1;
            self.file = None;
        }
        intact
    }
}
