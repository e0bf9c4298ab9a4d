//! Usage counters, the records of them, audits and bills.

mod audit;
mod vm;
mod writer;

use briarshift_control::request::Tokens;
use briarshift_control::usage::{Return, Sample};
use briarshift_units::Span;

/// Returns the usage of a chat. `number` selects one of two owners, three
/// accounts and two models.
fn sample(number: u64) -> Sample {
    let owner = if number.is_multiple_of(2) { "kitambaa" } else { "bruegger" };
    Sample {
        owner: owner.parse().unwrap(),
        account: format!("{owner}-{}", number % 3).parse().unwrap(),
        pool: "p".parse().unwrap(),
        model: Some(if number.is_multiple_of(5) { "a" } else { "b" }.into()),
        tokens: Tokens { prompt: number, cached: number / 2, completion: 3 },
        queued: Span(number),
        booked: number.is_multiple_of(7),
        refused: number.is_multiple_of(11),
        returning: if number.is_multiple_of(3) { Return::SameEngine } else { Return::NotReturning },
    }
}
