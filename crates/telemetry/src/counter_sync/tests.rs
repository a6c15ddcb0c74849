use super::*;

#[test]
fn syncs_requested_are_numbered_upwards() {
    let mut sync = CounterSync::default();
    let mut outputs = Vec::new();
    assert_eq!((sync.request(&mut outputs), sync.request(&mut outputs)), (1, 2));
    assert_eq!(outputs, [Output::Sync(1), Output::Sync(2)]);
}

#[test]
fn sync_failing_repeatedly_logs_its_beginning_and_its_end() {
    let mut sync = CounterSync::default();
    let mut outputs = Vec::new();
    sync.succeeded(&mut outputs);
    assert_eq!(outputs, []);
    sync.failed(SyncError::Timeout, &mut outputs);
    sync.failed(SyncError::Storage("no space".into()), &mut outputs);
    assert!(sync.is_failing());
    sync.succeeded(&mut outputs);
    sync.succeeded(&mut outputs);
    assert!(!sync.is_failing());
    let withheld = LogEvent::CountsWithheld { reason: SyncError::Timeout };
    assert_eq!(outputs, [Output::LogWarning(withheld), Output::LogWarning(LogEvent::CountsReportedAgain)]);
}
