//! Structured log lines and a bounded writer for them.
//!
//! A [`Record`] is one line of `key=value` pairs. [`init`] sets up the log of
//! a process: lines go through a bounded queue to a thread that writes them to
//! the given output, so that a reader that does not keep up never holds up a
//! request. Lines that find the queue full are dropped and counted, and a line
//! tells how many were lost.

mod pipe;
mod record;

use std::io::Write;

pub use pipe::Pipe;
pub use record::Record;

/// What a line says: pairs as they are, and the free text of a library as one.
///
/// # Examples
///
/// ```
/// use briarshift_logging::pairs;
/// assert_eq!(pairs("briarshift", &format_args!("event=stop")), "event=stop");
/// let text = pairs("actix_http", &format_args!("stream error: reset"));
/// assert_eq!(text, "event=library from=actix_http text=\"stream error: reset\"");
/// ```
pub fn pairs(from: &str, text: &std::fmt::Arguments<'_>) -> String {
    let text = text.to_string();
    if text.starts_with("event=") {
        return text;
    }
    Record::new("library").with("from", from).with("text", text).to_string()
}

/// Sets up the log of this process.
///
/// Lines go to `out`. The filter comes from `RUST_LOG`, or is `filter` if that
/// is not set.
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
