use super::*;

/// The model as stored in recipes of version 0.1.0.
const STORED: &str = concat!(
    r#"{"pace":{"turn":20000,"each":8000,"save":3000000},"delay":{"least":30000,"more":15000},"#,
    r#""drift":50,"apart":5000000000}"#,
);

#[test]
fn model_of_an_earlier_recipe_is_read_and_written_unchanged() {
    let model: Model = serde_json::from_str(STORED).unwrap();
    assert_eq!(model, Model::default());
    assert_eq!(serde_json::to_string(&model).unwrap(), STORED);
}
