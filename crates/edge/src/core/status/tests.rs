//! The JSON of the status page.

use super::*;

/// The status page as version 0.1.0 wrote it. Its field names stay when fields are renamed in the code.
const JSON_OF_0_1_0: &str = concat!(
    r#"{"held":0,"held_bytes":0,"calls":0,"links":0,"links_abandoned":0,"clients":0,"clients_paused":0"#,
    r#","list_version":1,"endpoints":4,"draining":false"#,
    r#","classes":{"order":{"taken":0,"served":0,"in_aim":0,"refused":0,"failed":0,"withdrawn":0"#,
    r#","turned_away":0}"#,
    r#","proxy":{"taken":0,"served":0,"in_aim":0,"refused":0,"failed":0,"withdrawn":0,"turned_away":0}"#,
    r#","status":{"taken":0,"served":0,"in_aim":0,"refused":0,"failed":0,"withdrawn":0,"turned_away":0}}"#,
    r#","attempts":0,"rounds":1,"out_of_time":0,"clocks_ahead":0}"#,
);

#[test]
fn status_as_json_has_the_field_names_of_earlier_versions() {
    let classes = ["status", "proxy", "order"];
    let status = Status {
        list_version: 1,
        endpoints: 4,
        decision_cycles: 1,
        classes: classes.map(|name| (name.to_owned(), ClassCounters::default())).into(),
        ..Status::default()
    };
    assert_eq!(serde_json::to_string(&status).expect("it is JSON"), JSON_OF_0_1_0);
}
