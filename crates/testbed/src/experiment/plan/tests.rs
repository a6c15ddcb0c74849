use super::*;
use std::collections::BTreeSet;

const VALID_PLAN: &str = r#"
name = "t"
about = "A test."
day = "quiet"
seeds = 3
compare = { factor = "couriers", base = 2 }
[[factor]]
name = "couriers"
levels = [2, 5]
[[factor]]
name = "traffic.load"
levels = [0.5, 1]
[[factor]]
name = "trouble"
levels = ["none", "slow", "as-written"]
"#;

#[test]
fn grid_has_each_combination_of_levels_once() {
    let plan = Plan::parse(VALID_PLAN).unwrap();
    assert_eq!((plan.cells(), plan.runs()), (12, 36));
    let combinations: BTreeSet<Vec<String>> = (0..12).map(|cell| plan.levels(cell)).collect();
    assert_eq!(combinations.len(), 12);
    assert_eq!(plan.levels(7), ["5", "0.5", "slow"]);
    assert_eq!(plan.run(7), RunKey { cell: 2, seed: 2 });
    let recipe = plan.recipe(7, 9).unwrap();
    assert_eq!(recipe.seed, 9);
    assert_eq!(recipe.scenario.couriers, 5);
    assert_eq!(recipe.scenario.traffic.load, 0.5);
    assert_eq!(recipe.scenario.faults.len(), 1);
    assert_eq!(plan.recipe(9, 9).unwrap().scenario.traffic.load, 1.0, "an integer for a fraction");
}

#[test]
fn factor_on_the_command_line_is_parsed_as_in_a_plan() {
    let couriers = Setting { factor: "couriers".into(), level: Value::Integer(30) };
    assert_eq!(Setting::parse("couriers=30").unwrap(), couriers);
    assert_eq!(Setting::parse("traffic.load=0.5").unwrap().level, Value::Float(0.5));
    assert_eq!(Setting::parse("policy=one-try").unwrap().level, Value::String("one-try".into()));
    assert!(Setting::parse("couriers").is_err());
}

#[test]
fn invalid_plan_is_rejected_with_its_place() {
    let error = |from: &str, to: &str| {
        assert!(VALID_PLAN.contains(from));
        format!("{:#}", Plan::parse(&VALID_PLAN.replacen(from, to, 1)).unwrap_err())
    };
    assert!(error("seeds = 3", "seeds = 0").contains("seeds"));
    assert!(error("traffic.load", "traffic.lode").contains("lode"));
    assert!(error("\"slow\"", "\"no-such-day\"").contains("no-such-day"));
    assert!(error("base = 2", "base = 4").contains("compare.base"));
    assert!(error("[2, 5]", "[2, 5000]").contains("5000"));
    assert!(error("[2, 5]", "[]").contains("level"));
    assert!(error("day = ", "show = [\"nothing\"]\nday = ").contains("served_worth"));
}
