//! The table of results: the median over the seeds, with minimum and maximum in brackets.

use crate::results::Results;

/// A column: its name, the digits after the decimal point and its value in a run.
type Column = (&'static str, usize, fn(&Results) -> f64);

const COLUMNS: [Column; 14] = [
    ("reuse", 3, |run| run.reuse),
    ("reuse_all", 3, |run| run.reuse_all),
    ("skew_max", 2, |run| run.skew_max_over_mean),
    ("skew_p99", 2, |run| run.skew_p99),
    ("above", 0, |run| run.bound_violations as f64),
    ("late", 0, |run| run.bound_violations_late as f64),
    ("excess", 0, |run| f64::from(run.bound_excess_max)),
    ("shed", 0, |run| run.shed as f64),
    ("others", 0, |run| run.shed_others as f64),
    ("p50_ms", 0, |run| run.queue_wait_ms_p50),
    ("p99_ms", 0, |run| run.queue_wait_ms_p99),
    ("night_p99", 0, |run| run.overnight_wait_ms_p99),
    ("B/s", 0, |run| run.control_bytes_per_s_per_vm),
    ("B/s_max", 0, |run| run.control_bytes_per_s_max),
];

/// Prints the header.
pub fn print_header() {
    print!("{:<13} {:<18}", "scenario", "policy");
    for (name, _, _) in COLUMNS {
        print!(" {name:>19}");
    }
    println!();
}

/// Prints the line of one scenario and policy from its runs.
pub fn print_line(runs: &[Results]) {
    let Some(first) = runs.first() else { return };
    print!("{:<13} {:<18}", first.scenario, first.policy);
    for (_, digits, value) in COLUMNS {
        print!(" {:>19}", format_values(runs, digits, value));
    }
    println!();
}

/// Formats the median, minimum and maximum of a value over the runs.
fn format_values(runs: &[Results], digits: usize, value: fn(&Results) -> f64) -> String {
    let mut values: Vec<_> = runs.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    let (Some(min), Some(max)) = (values.first(), values.last()) else { return String::new() };
    let median = values[values.len() / 2];
    if min == max {
        return format!("{median:.digits$}");
    }
    format!("{median:.digits$} [{min:.digits$}..{max:.digits$}]")
}
