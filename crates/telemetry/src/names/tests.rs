use super::*;

fn newly(name: &str) -> AssignedName {
    AssignedName { name: name.to_owned(), newly_assigned: true }
}

fn already(name: &str) -> AssignedName {
    AssignedName { name: name.to_owned(), newly_assigned: false }
}

#[test]
fn assigned_name_stays_with_first_owner() {
    assert_eq!(sanitize("Sparkasse Köln.Bonn (Mitte)"), "Sparkasse_Koln_Bonn__Mitte_");
    let mut names = SeriesNames::new(100);
    assert_eq!(names.assign(Some("a.b"), 1), newly("a_b"));
    assert_eq!(names.assign(Some("a b"), 2), newly("a_b-d2"), "both have the same sanitized form");
    assert_eq!(names.assign(Some("c"), 1), newly("c"), "the owner is renamed");
    assert_eq!(names.assign(Some("a.b"), 3), newly("a_b-d3"), "the old name is not assigned again");
    assert_eq!(names.assign(Some("a.b"), 1), already("a_b"), "its owner gets it again");
    assert_eq!(names.assign(Some("d2"), 5).name, "d5", "`d` and a number is reserved");
    assert_eq!(names.assign(None, 9).name, "d9");
    // The wanted name was assigned to another owner after a collision.
    assert_eq!(names.assign(Some("a_b-d2"), 4).name, "a_b-d2-d4");
}

#[test]
fn name_beyond_limit_falls_back_to_number() {
    let mut names = SeriesNames::new(1);
    assert_eq!(names.assign(Some("x"), 1).name, "x");
    assert_eq!(names.assign(Some("y"), 2).name, "d2");
}
