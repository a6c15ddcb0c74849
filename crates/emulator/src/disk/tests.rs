use super::*;
use linnetcart_edge::settings::EndpointList;

fn snapshot(version: u64) -> Snapshot {
    Snapshot { list: EndpointList { version, ..EndpointList::default() }, ..Snapshot::default() }
}

fn loaded_version(disk: &mut Disk) -> Option<u64> {
    disk.load().map(|snapshot| snapshot.list.version)
}

#[test]
fn crash_during_write_leaves_the_old_or_the_new_snapshot_complete() {
    let mut disk = Disk::default();
    disk.save(&snapshot(1));
    disk.sync();
    for (crash, expected) in [(Crash::BeforeRename, 1), (Crash::AfterRename, 2)] {
        let mut crashed = disk.clone();
        crashed.save(&snapshot(2));
        crashed.crash(crash);
        assert_eq!(loaded_version(&mut crashed), Some(expected));
    }
    // If a crash undoes two writes in a row, the file from before both remains.
    disk.save(&snapshot(2));
    disk.save(&snapshot(3));
    disk.crash(Crash::BeforeRename);
    assert_eq!(loaded_version(&mut disk), Some(1));
}

#[test]
fn damaged_snapshot_is_set_aside_wherever_it_is_cut() {
    for readable_fraction in [0.0, 0.3, 0.99] {
        let mut disk = Disk::default();
        disk.save(&snapshot(1));
        disk.damage(readable_fraction);
        assert_eq!((loaded_version(&mut disk), disk.set_aside), (None, 1));
        assert_eq!(loaded_version(&mut disk), None, "the next start finds no snapshot");
    }
}
