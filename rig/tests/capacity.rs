//! Capacity measurements and the lines fitted to them.

use rig::{CapacityPoint, fit_line, measure_memory, render_points};

fn near(found: f64, wanted: f64, tolerance: f64) -> bool {
    (found - wanted).abs() <= tolerance
}

#[test]
fn line_through_exact_points_has_no_residual() {
    let fit = fit_line(&[(10.0, 25.0), (20.0, 45.0), (40.0, 85.0)]).unwrap();

    assert!(near(fit.slope, 2.0, 1e-9), "{fit:?}");
    assert!(near(fit.intercept, 5.0, 1e-9), "{fit:?}");
    assert!(near(fit.residual, 0.0, 1e-9), "{fit:?}");
    assert!(near(fit.value_at(100.0), 205.0, 1e-6), "{fit:?}");
}

#[test]
fn residual_is_the_largest_distance_over_the_largest_value() {
    // The fitted line is y = 10: the middle point lies 2 above it and the others 1 below.
    let fit = fit_line(&[(1.0, 9.0), (2.0, 12.0), (3.0, 9.0)]).unwrap();

    assert!(near(fit.slope, 0.0, 1e-9), "{fit:?}");
    assert!(near(fit.residual, 2.0 / 12.0, 1e-9), "{fit:?}");
}

#[test]
fn no_line_through_one_size() {
    assert_eq!(fit_line(&[(3.0, 1.0), (3.0, 2.0)]), None);
    assert_eq!(fit_line(&[]), None);
}

#[test]
fn points_are_listed_by_measure_with_their_line() {
    let points = [
        CapacityPoint::new("time, ns", "target", 10.0, 25.0),
        CapacityPoint::new("time, ns", "target", 20.0, 45.0),
        CapacityPoint::new("size, bytes", "team", 5.0, 100.0),
    ];

    let text = render_points(&points);

    assert!(text.contains("| time, ns | target | 10: 25.00, 20: 45.00 | 2.00 | 5.00 | 0 % |"));
    assert!(text.contains("| size, bytes | team | 5: 100 | - | - | - |"));
}

#[test]
fn memory_grows_with_targets_and_teams() {
    let points = measure_memory();

    for per in ["target", "team"] {
        let selected = points.iter().filter(|point| &*point.per == per);
        let selected: Vec<(f64, f64)> = selected.map(|point| (point.size, point.value)).collect();
        let fit = fit_line(&selected).unwrap();
        assert!(
            fit.slope > 50.0 && fit.slope < 10_000.0,
            "{per}: {selected:?}"
        );
    }
}
