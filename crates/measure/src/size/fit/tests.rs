use super::{fit, short, Form, Unfit};

const SIZES: [f64; 6] = [3.0, 10.0, 30.0, 100.0, 300.0, 750.0];

fn points(of: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    SIZES.iter().map(|n| (*n, of(*n))).collect()
}

/// Off by 3%, up and down by turns.
fn shaken(of: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    let shake = |(k, n): (usize, &f64)| (*n, of(*n) * if k % 2 == 0 { 1.03 } else { 0.97 });
    SIZES.iter().enumerate().map(shake).collect()
}

#[test]
fn each_form_is_found_with_its_coefficient_and_offset() {
    type Law = fn(f64) -> f64;
    let laws: [(Form, Law, f64, f64); 4] = [
        (Form::Constant, |_| 12.5, 0.0, 12.5),
        (Form::Linear, |n| 12.3 + 0.41 * n, 0.41, 12.3),
        (Form::LogLinear, |n| 7.0 + 0.2 * n * n.log2(), 0.2, 7.0),
        (Form::Quadratic, |n| 5.0 + 0.01 * n * n, 0.01, 5.0),
    ];
    for (form, law, coefficient, offset) in laws {
        let slope = fit(&points(law)).unwrap();
        assert_eq!(slope.form, form);
        assert!((slope.coefficient - coefficient).abs() < 1e-9, "{slope:?}");
        assert!((slope.offset - offset).abs() < 1e-6, "{slope:?}");
        assert!(slope.residual < 1e-9, "{slope:?}");
        assert!((slope.at(1500.0) - law(1500.0)).abs() < 1e-5 * law(1500.0), "{slope:?}");
    }
}

#[test]
fn noise_alone_makes_no_slope_and_hides_none() {
    assert_eq!(fit(&shaken(|_| 200.0)).unwrap().form, Form::Constant);
    assert_eq!(fit(&shaken(|n| 10.0 + 2.0 * n)).unwrap().form, Form::Linear);
    assert_eq!(fit(&shaken(|n| 0.3 * n * n)).unwrap().form, Form::Quadratic);
    let slope = fit(&shaken(|n| 10.0 + 2.0 * n)).unwrap();
    assert!(slope.residual > 0.001 && slope.residual < 0.1, "{slope:?}");
}

#[test]
fn too_few_sizes_and_what_is_no_number_are_refused() {
    let of_four = [(1.0, 1.0), (2.0, 2.0), (3.0, 3.0), (4.0, 4.0), (4.0, 4.1), (4.0, 3.9)];
    assert_eq!(fit(&of_four), Err(Unfit::Sizes(4)));
    assert_eq!(fit(&[]), Err(Unfit::Sizes(0)));
    let mut all = points(|n| n);
    all[2].1 = f64::NAN;
    assert_eq!(fit(&all), Err(Unfit::Number));
}

#[test]
fn a_cell_says_form_residual_and_the_largest_size_run() {
    let slope = |of: fn(f64) -> f64| fit(&points(of)).unwrap().to_string();
    assert_eq!(slope(|n| 12.3 + 0.41 * n), "12.3 + 0.41 n, residual 0%, run to 750");
    assert_eq!(slope(|n| 900.0 - 0.5 * n), "900 - 0.5 n, residual 0%, run to 750");
    assert_eq!(slope(|_| 7.0), "7, residual 0%, run to 750");
    assert_eq!([short(0.0), short(0.01234), short(1234.5)], ["0", "0.0123", "1234"].map(String::from));
}
