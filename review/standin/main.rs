//! Drives the cases of the review: `driver CASE RECORD`. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod http;
mod json;
mod store;
mod world;

mod late;
mod poison;
mod stale;
mod storm;

use std::process::exit;
use std::time::Duration;

use world::Record;

/// Result of a case: whether the rule was broken, or why the case could not run.
pub type Outcome = Result<bool, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else { exit(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(path);
    record.line(format!("case {case} trouble {trouble}"));
    world::limit_time(Duration::from_secs(116));
    let outcome = std::panic::catch_unwind(|| match case.as_str() {
        "storm" => storm::run(&record, trouble),
        "stale" => stale::run(&record, trouble),
        "late" => late::run(&record, trouble),
        "killed" => poison::killed(&record, trouble),
        "same_id" => poison::same_id(&record, trouble),
        _ => Err("no such case".to_owned()),
    });
    let (text, code) = match outcome {
        Ok(Ok(true)) => ("BROKEN".to_owned(), 1),
        Ok(Ok(false)) => ("held".to_owned(), 0),
        Ok(Err(reason)) => (format!("not run: {reason}"), 2),
        Err(_) => ("not run: the driver failed".to_owned(), 2),
    };
    record.line(text);
    exit(code);
}
