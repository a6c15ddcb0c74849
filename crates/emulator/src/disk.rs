//! The disk of a host: the snapshot, and the one that is being written.

use linnetcart_edge::snapshot::{self, Saved};

/// What a crash does to a write that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// The new file had been put in the place of the old.
    After,
    /// It had not: the old one stays, part of the new one lies beside it.
    Before,
}

/// A disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    file: Option<Vec<u8>>,
    /// The one before, while the write of `file` may still be cut.
    before: Option<Option<Vec<u8>>>,
    /// Snapshots set aside because they were damaged.
    pub aside: u32,
}

impl Disk {
    /// Writes a snapshot in the place of the one before. Until [`Disk::done`] a crash may undo it.
    pub fn save(&mut self, saved: &Saved) -> Result<(), String> {
        let bytes = snapshot::encode(saved)?;
        let old = self.file.replace(bytes);
        self.before.get_or_insert(old);
        Ok(())
    }

    /// What was written is there for good.
    pub fn done(&mut self) {
        self.before = None;
    }

    /// The program ends in the middle of what it does.
    pub fn crash(&mut self, how: Crash) {
        if let (Some(old), Crash::Before) = (self.before.take(), how) {
            self.file = old;
        }
    }

    /// Bytes of the snapshot from here on are lost, as on a failing disk.
    pub fn damage(&mut self, from: f64) {
        if let Some(file) = &mut self.file {
            file.truncate((file.len() as f64 * from.clamp(0.0, 1.0)) as usize);
        }
    }

    /// The snapshot, if a good one is there. A damaged one is set aside.
    pub fn load(&mut self) -> Option<Saved> {
        self.before = None;
        let good = snapshot::decode(self.file.as_ref()?).ok();
        if good.is_none() {
            self.aside += 1;
            self.file = None;
        }
        good
    }
}
