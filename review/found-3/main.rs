//! A probe, no case: the store comes back from a copy while VMs are killed. See REPORT-3.md,
//! "Found, and no case". `rustc --edition 2024 -O -o target/review-3/drill review/found-3/main.rs`,
//! then `REWRITE=3000 RESTART=3 AT=200 target/review-3/drill FOLDER` from the repository's root:
//! the operator writes again REWRITE ms after the return, RESTART of three VMs are killed at the
//! return and started AT ms later. Exits with 1 if a request with the taken key ran too late.

mod common;
mod drill;

fn main() {
    let folder = std::env::args().nth(1).expect("a folder for record.txt");
    let record = common::Record::create(&std::path::Path::new(&folder).join("record.txt"));
    let code = match drill::run(&record) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    println!("exit {code}");
    std::process::exit(code);
}
