use super::*;

/// The recipe that version 0.1.0 wrote for `emulate quiet --couriers 2 --speed 6 --recipe`.
const STORED: &str = include_str!("../../tests/stored/recipe-0.1.0.json");

#[test]
fn recipe_of_an_earlier_version_is_read_and_written_unchanged() {
    let file = std::env::temp_dir().join(format!("linnetcart-recipe-{}.json", std::process::id()));
    std::fs::write(&file, STORED).unwrap();
    let recipe = Recipe::read(&file).unwrap();
    assert_eq!((recipe.scenario.name.as_str(), recipe.scenario.couriers, recipe.seed), ("quiet", 2, 1));
    assert_eq!(recipe.model, Model::default());
    recipe.write(&file).unwrap();
    assert_eq!(std::fs::read_to_string(&file).unwrap(), STORED);
    std::fs::remove_file(file).unwrap();
}
