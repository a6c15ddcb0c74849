use super::*;
use crate::counters::RestoredCounts;
use crate::counts::Field;
use crate::{CourierInfo, RestoredState};

/// A recording in which this many cells have changed, one for each destination.
fn recording(cells: u32) -> Recording {
    let courier = CourierInfo {
        deployment: "test".into(),
        courier_index: 1,
        classes: Vec::new(),
        weight_halves: false,
        seed: 1,
    };
    let restored = RestoredCounts::read(&RestoredState::default(), Vec::new(), 1000);
    let mut recording = Recording::new(&courier, restored, 0);
    for destination in 0..cells {
        recording.counters.add(CounterKey::Cell { destination, class: 0 }, Field::Accepted, 1);
    }
    recording
}

/// Returns the destinations of the cells in the next report.
fn selected_cells(selection: &mut ItemSelection, recording: &mut Recording) -> Vec<u32> {
    let mut cells = Vec::new();
    for item in selection.select(recording) {
        if let ReportItem::Cell(CounterKey::Cell { destination, .. }) = item {
            cells.push(destination);
        }
    }
    cells
}

#[test]
fn cells_changed_are_selected_once() {
    let mut recording = recording(3);
    let mut selection = ItemSelection::default();
    recording.counters.log_changes(&mut Vec::new());
    assert_eq!(selected_cells(&mut selection, &mut recording), [0, 1, 2]);
    assert_eq!(
        selected_cells(&mut selection, &mut recording),
        [1],
        "only the round robin selects an unchanged cell"
    );
}

#[test]
fn cells_unchanged_are_all_selected_within_thirty_reports() {
    let mut recording = recording(65);
    let mut selection = ItemSelection::default();
    let mut refreshed = BTreeSet::new();
    for _ in 0..REPORTS_PER_REFRESH {
        let cells = selected_cells(&mut selection, &mut recording);
        assert!(cells.len() <= 3, "{cells:?}");
        refreshed.extend(cells);
    }
    assert_eq!(refreshed.len(), 65);
}

#[test]
fn cells_postponed_come_first_in_the_next_report() {
    let mut recording = recording(4);
    let mut selection = ItemSelection::default();
    recording.counters.log_changes(&mut Vec::new());
    selection.record_postponed(CounterKey::Cell { destination: 2, class: 0 });
    selection.record_postponed(CounterKey::Cell { destination: 3, class: 0 });
    assert_eq!(selected_cells(&mut selection, &mut recording), [2, 3, 0, 1]);
}

#[test]
fn destination_total_precedes_the_cells_of_its_destination() {
    let mut recording = recording(1);
    recording.counters.add(CounterKey::Cell { destination: 0, class: 1 }, Field::Accepted, 1);
    recording.counters.log_changes(&mut Vec::new());
    let items: Vec<ReportItem> = ItemSelection::default().select(&mut recording).into();
    let wanted = [
        ReportItem::Courier,
        ReportItem::DestinationTotal(0),
        ReportItem::Cell(CounterKey::Cell { destination: 0, class: 0 }),
        ReportItem::Cell(CounterKey::Cell { destination: 0, class: 1 }),
    ];
    assert_eq!(items, wanted);
}
