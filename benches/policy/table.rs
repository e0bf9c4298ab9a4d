//! The readable table: medians over the seeds, least and most in brackets.

use crate::measure::Row;

/// Columns: name, digits after the point, value.
type Column = (&'static str, usize, fn(&Row) -> f64);

const COLUMNS: [Column; 14] = [
    ("reuse", 3, |row| row.reuse),
    ("reuse_all", 3, |row| row.reuse_all),
    ("skew_max", 2, |row| row.skew_max_over_mean),
    ("skew_p99", 2, |row| row.skew_p99),
    ("above", 0, |row| row.bound_violations as f64),
    ("late", 0, |row| row.bound_violations_late as f64),
    ("excess", 0, |row| f64::from(row.bound_excess_max)),
    ("shed", 0, |row| row.shed as f64),
    ("others", 0, |row| row.shed_others as f64),
    ("p50_ms", 0, |row| row.queue_wait_ms_p50),
    ("p99_ms", 0, |row| row.queue_wait_ms_p99),
    ("night_p99", 0, |row| row.overnight_wait_ms_p99),
    ("B/s", 0, |row| row.control_bytes_per_s_per_vm),
    ("B/s_max", 0, |row| row.control_bytes_per_s_max),
];

/// Prints the head.
pub fn head() {
    print!("{:<13} {:<18}", "scenario", "policy");
    for (name, _, _) in COLUMNS {
        print!(" {name:>19}");
    }
    println!();
}

/// Prints one scenario and policy.
pub fn line(rows: &[Row]) {
    let Some(first) = rows.first() else { return };
    print!("{:<13} {:<18}", first.scenario, first.policy);
    for (_, digits, value) in COLUMNS {
        print!(" {:>19}", spread(rows, digits, value));
    }
    println!();
}

fn spread(rows: &[Row], digits: usize, value: fn(&Row) -> f64) -> String {
    let mut values: Vec<_> = rows.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    let (Some(least), Some(most)) = (values.first(), values.last()) else { return String::new() };
    let median = values[values.len() / 2];
    if least == most {
        return format!("{median:.digits$}");
    }
    format!("{median:.digits$} [{least:.digits$}..{most:.digits$}]")
}
