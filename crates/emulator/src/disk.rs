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

#[cfg(test)]
mod tests {
    use super::*;
    use linnetcart_edge::settings::List;

    fn saved(version: u64) -> Saved {
        Saved { list: List { version, ..List::default() }, ..Saved::default() }
    }

    fn version(disk: &mut Disk) -> Option<u64> {
        disk.load().map(|s| s.list.version)
    }

    #[test]
    fn a_crash_in_the_middle_of_a_write_leaves_the_old_or_the_new_and_never_a_half() {
        let mut disk = Disk::default();
        disk.save(&saved(1)).unwrap();
        disk.done();
        for (how, left) in [(Crash::Before, 1), (Crash::After, 2)] {
            let mut d = disk.clone();
            d.save(&saved(2)).unwrap();
            d.crash(how);
            assert_eq!(version(&mut d), Some(left));
        }
        // Two writes in a row that a crash undoes leave what was there before both.
        disk.save(&saved(2)).unwrap();
        disk.save(&saved(3)).unwrap();
        disk.crash(Crash::Before);
        assert_eq!(version(&mut disk), Some(1));
    }

    #[test]
    fn a_cut_snapshot_is_set_aside_wherever_it_is_cut() {
        for left in [0.0, 0.3, 0.99] {
            let mut disk = Disk::default();
            disk.save(&saved(1)).unwrap();
            disk.damage(left);
            assert_eq!((version(&mut disk), disk.aside), (None, 1));
            assert_eq!(version(&mut disk), None, "the next start finds none");
        }
    }
}
