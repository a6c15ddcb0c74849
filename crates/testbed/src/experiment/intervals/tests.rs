use super::*;

#[test]
fn mean_of_few_values_has_students_t_interval() {
    // t(0.975) with four degrees of freedom is 2.776, and the sample standard deviation is 1.5811.
    let result = mean(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert_eq!((result.count, result.mean), (5, 3.0));
    assert!((result.half_width - 2.776_445 * 1.581_139 / 5f64.sqrt()).abs() < 1e-4, "{}", result.half_width);
    assert!(result.excludes_zero() && !mean(&[-1.0, 1.0]).excludes_zero() && !mean(&[7.0]).excludes_zero());
}

#[test]
fn paired_difference_excludes_variance_between_seeds() {
    let base = [0.3, 0.9, 0.5, 0.7];
    let other = base.map(|value| value + 0.01);
    let difference = paired_difference(&base, &other);
    assert!((difference.mean - 0.01).abs() < 1e-9 && difference.excludes_zero());
}
