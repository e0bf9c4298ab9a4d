//! Runs one case: `standin CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held and
//! 2 if the case couldn't run.

mod common;
mod slow_reader;
mod switching;
mod plain_503;
mod tenants;
mod entry;

use std::path::Path;

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

fn main() {
    let args: Vec<_> = std::env::args().collect();
    let record = common::Record::create(&Path::new(&args[2]).join("record.txt"));
    let result = match args[1].as_str() {
        "drain" => slow_reader::drain(&record),
        "tenants" => tenants::run(&record),
        "switching" => switching::run(&record),
        "entry" => entry::run(&record),
        "plain-503" => plain_503::run(&record),
        other => Err(format!("no case {other}")),
    };
    let code = match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(err) => {
            record.line(format!("the case could not run: {err}"));
            2
        }
    };
    record.line(format!("exit {code}"));
    println!("exit {code}");
    std::process::exit(code);
}
