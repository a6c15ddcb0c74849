use super::*;

#[test]
fn name_taken_stays_with_first_owner() {
    assert_eq!(safe("Sparkasse Köln.Bonn (Mitte)"), "Sparkasse_Koln_Bonn__Mitte_");
    let mut names = Names::new(BTreeMap::new(), 100);
    assert_eq!(names.name(Some("a.b"), 1), ("a_b".into(), true));
    assert_eq!(names.name(Some("a b"), 2), ("a_b-d2".into(), true), "made safe they collide");
    assert_eq!(names.name(Some("c"), 1), ("c".into(), true), "renamed");
    assert_eq!(names.name(Some("a.b"), 3), ("a_b-d3".into(), true), "the old name is not given again");
    assert_eq!(names.name(Some("a.b"), 1), ("a_b".into(), false), "but to its owner");
    assert_eq!(names.name(Some("d2"), 5).0, "d5", "a number is nobody's name");
    assert_eq!(names.name(None, 9).0, "d9");
    // A later one that wants the very name another got by collision.
    assert_eq!(names.name(Some("a_b-d2"), 4).0, "a_b-d2-d4");
}

#[test]
fn name_beyond_limit_falls_back_to_number() {
    let mut names = Names::new(BTreeMap::new(), 1);
    assert_eq!(names.name(Some("x"), 1).0, "x");
    assert_eq!(names.name(Some("y"), 2).0, "d2");
}
