use super::*;

/// A document with all fields, as stored by an earlier version.
const DOCUMENT: &str = concat!(
    r#"{"interval_s":5,"points":2000,"cells":300,"names":{"3":"Bank"},"#,
    r#""graphite":{"address":"10.0.0.9:2003","form":"pickle","tags":true,"queue_bytes":65536,"#,
    r#""stuck_s":7},"collectd":{"address":"10.0.0.9:25826","host":"edge","#,
    r#""security":{"encrypt":{"user":"edge","key":"a"}},"packet_bytes":1452},"#,
    r#""listen":{"address":"127.0.0.1:25827","require":"signed","users":{"host":["b","c"]},"#,
    r#""skew_s":300}}"#,
);

fn document() -> Telemetry {
    serde_json::from_str(DOCUMENT).expect("a document")
}

/// Returns the field and the text of the error that a change of the document causes.
fn check(change: impl FnOnce(&mut Telemetry)) -> Option<(String, String)> {
    let mut changed = document();
    change(&mut changed);
    let error = changed.check().err()?;
    Some((error.field().to_owned(), error.to_string()))
}

fn rejected(field: &str, reason: &str) -> Option<(String, String)> {
    Some((field.to_owned(), reason.to_owned()))
}

#[test]
fn document_written_matches_stored_text() {
    assert_eq!(serde_json::to_string(&document()).expect("serializable"), DOCUMENT);
}

#[test]
fn empty_document_has_documented_defaults() {
    let empty: Telemetry = serde_json::from_str("{}").expect("an empty document");
    assert_eq!((empty.interval_s, empty.points, empty.cells), (10, 100_000, 100_000));
    assert_eq!((empty.graphite, empty.collectd, empty.listen), (None, None, None));
}

#[test]
fn document_within_ranges_is_accepted() {
    assert_eq!(check(|_| ()), None);
}

#[test]
fn field_out_of_range_is_rejected_with_its_path() {
    assert_eq!(check(|document| document.interval_s = 0), rejected("interval_s", "0; 1 to 3600 will do"));
    assert_eq!(check(|document| document.points = 999), rejected("points", "999; 1000 to 10000000 will do"));
    assert_eq!(check(|document| document.cells = 99), rejected("cells", "99; 100 to 1000000 will do"));
    let queue_bytes =
        check(|document| document.graphite.iter_mut().for_each(|graphite| graphite.queue_bytes = 1));
    assert_eq!(queue_bytes, rejected("graphite.queue_bytes", "1; 65536 to 1073741824 will do"));
    let packet_bytes =
        check(|document| document.collectd.iter_mut().for_each(|collectd| collectd.packet_bytes = 1));
    assert_eq!(packet_bytes, rejected("collectd.packet_bytes", "1; 1024 to 65507 will do"));
    let skew = check(|document| document.listen.iter_mut().for_each(|listen| listen.skew_s = 0));
    assert_eq!(skew, rejected("listen.skew_s", "0; 1 to 86400 will do"));
}

#[test]
fn names_and_keys_missing_are_rejected_with_their_path() {
    let host = check(|document| {
        document.collectd.iter_mut().for_each(|collectd| collectd.host = Some(String::new()))
    });
    assert_eq!(host, rejected("collectd.host", "1 to 127 bytes will do"));
    let user = User { user: "edge".into(), key: String::new() };
    let key = check(|document| {
        document.collectd.iter_mut().for_each(|collectd| collectd.security = Security::Sign(user.clone()))
    });
    assert_eq!(key, rejected("collectd.security", "a user of 1 to 127 bytes and a key are needed"));
    let users = check(|document| document.listen.iter_mut().for_each(|listen| listen.users.clear()));
    assert_eq!(users, rejected("listen.users", "packets must be secured, but there is no user with a key"));
}

#[test]
fn hidden_keys_are_restored_when_document_comes_back() {
    let hidden = document().without_keys();
    let text = serde_json::to_string(&hidden).expect("serializable");
    assert_eq!(text.matches(r#""(kept)""#).count(), 3, "{text}");
    let mut returned = hidden.clone();
    returned.restore_hidden_keys(Some(&document()));
    assert_eq!(returned, document());
    assert_eq!(hidden.check(), Err(SettingsError::UnknownKey { owner: "listen host 1".into() }));
    let mut without_known_keys = hidden.clone();
    without_known_keys.restore_hidden_keys(None);
    assert_eq!(without_known_keys, hidden);
}
