//! The disk of a host: the snapshot, and the one that is being written.

use linnetcart_edge::snapshot::{self, Snapshot};

/// What a crash does to a write that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// The new file had been put in the place of the old.
    After,
    /// It had not: the old one stays, part of the new one lies beside it.
    Before,
}

/// A snapshot on a disk. It is turned into bytes when something reads or damages them: couriers save many more
/// than they load.
#[derive(Clone, Debug)]
struct File {
    saved: Snapshot,
    /// The share of its bytes that is left.
    left: f64,
}

/// A disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    file: Option<File>,
    /// The one before, while the write of `file` may still be cut.
    before: Option<Option<File>>,
    /// Snapshots set aside because they were damaged.
    pub aside: u32,
}

impl Disk {
    /// Writes a snapshot in the place of the one before. Until [`Disk::done`] a crash may undo it.
    pub fn save(&mut self, saved: &Snapshot) {
        let old = self.file.replace(File { saved: saved.clone(), left: 1.0 });
        self.before.get_or_insert(old);
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
            file.left = file.left.min(from.clamp(0.0, 1.0));
        }
    }

    /// The snapshot, if a good one is there. A damaged one is set aside.
    pub fn load(&mut self) -> Option<Snapshot> {
        self.before = None;
        let file = self.file.as_ref()?;
        let bytes = snapshot::encode(&file.saved).unwrap_or_default();
        let good = snapshot::decode(&bytes[..(bytes.len() as f64 * file.left) as usize]).ok();
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
    use linnetcart_edge::settings::EndpointList;

    fn saved(version: u64) -> Snapshot {
        Snapshot { list: EndpointList { version, ..EndpointList::default() }, ..Snapshot::default() }
    }

    fn version(disk: &mut Disk) -> Option<u64> {
        disk.load().map(|s| s.list.version)
    }

    #[test]
    fn a_crash_in_the_middle_of_a_write_leaves_the_old_or_the_new_and_never_a_half() {
        let mut disk = Disk::default();
        disk.save(&saved(1));
        disk.done();
        for (how, left) in [(Crash::Before, 1), (Crash::After, 2)] {
            let mut d = disk.clone();
            d.save(&saved(2));
            d.crash(how);
            assert_eq!(version(&mut d), Some(left));
        }
        // Two writes in a row that a crash undoes leave what was there before both.
        disk.save(&saved(2));
        disk.save(&saved(3));
        disk.crash(Crash::Before);
        assert_eq!(version(&mut disk), Some(1));
    }

    #[test]
    fn a_cut_snapshot_is_set_aside_wherever_it_is_cut() {
        for left in [0.0, 0.3, 0.99] {
            let mut disk = Disk::default();
            disk.save(&saved(1));
            disk.damage(left);
            assert_eq!((version(&mut disk), disk.aside), (None, 1));
            assert_eq!(version(&mut disk), None, "the next start finds none");
        }
    }
}
