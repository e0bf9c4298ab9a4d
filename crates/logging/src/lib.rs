//! Structured log lines and a bounded writer for them.
//!
//! A [`Record`] is one line of `key=value` pairs. [`init`] sets up logging for the process: a
//! thread writes the lines from a bounded queue to the given output, so that a slow reader of the
//! log never blocks a request. Lines are dropped and counted while the queue is full, and a
//! `log_lost` line reports how many were lost.

mod pipe;
mod record;

use std::io::Write;

pub use pipe::Pipe;
pub use record::Record;

/// Formats the text of a log call as `key=value` pairs. Text that starts with `event=` is returned
/// unchanged; any other text, such as that of a library, becomes a `library` event.
///
/// # Examples
///
/// ```
/// use briarshift_logging::pairs;
/// assert_eq!(pairs("briarshift", &format_args!("event=stop")), "event=stop");
/// let text = pairs("actix_http", &format_args!("stream error: reset"));
/// assert_eq!(text, "event=library from=actix_http text=\"stream error: reset\"");
/// ```
pub fn pairs(target: &str, text: &std::fmt::Arguments<'_>) -> String {
    let text = text.to_string();
    if text.starts_with("event=") {
        return text;
    }
    Record::new("library").with("from", target).with("text", text).to_string()
}

/// Sets up logging for this process.
///
/// Lines are written to `out`. The filter is taken from `RUST_LOG`, or is `filter` if that is not
/// set.
pub fn init(filter: &str, out: Box<dyn Write + Send>) {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(filter))
        .target(env_logger::Target::Pipe(Box::new(Pipe::new(out))))
        .format(|out, record| {
            let level = record.level().as_str().to_lowercase();
            let pairs = pairs(record.target(), record.args());
            writeln!(out, "time={} level={level} {pairs}", out.timestamp_millis())
        })
        .init();
}
