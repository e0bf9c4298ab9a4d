//! Tests of the stand-ins as processes.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use briarshift_standin::Fault;
use briarshift_standin::engine::FaultKind;
use briarshift_standin::run::Log;

use crate::{block_on, call, send};

/// A process that is killed when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(arguments: &[&str]) -> (Process, SocketAddr) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_briarshift-standin"));
    let mut child = command.args(arguments).stdout(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("listening ").unwrap().parse().unwrap();
    (Process(child), address)
}

#[test]
fn each_stand_in_prints_its_address() {
    for name in ["platform", "engine", "runner"] {
        let (_process, address) = start(&[name]);
        assert!(address.ip().is_loopback());
        assert_ne!(address.port(), 0);
    }
}

#[test]
fn a_crash_ends_the_process_with_an_exit_code() {
    let (mut process, address) = start(&["runner"]);
    block_on(async {
        let book =
            |number, key| call(number, "POST", "/bookings", &format!(r#"{{"booking":"{key}"}}"#));
        send(address, book(1, "sound")).await.unwrap();
        let (_, log) = send(address, call(2, "GET", "/admin/runs", "")).await.unwrap();
        let log: Log = serde_json::from_str(&log).unwrap();
        assert_eq!(log.bookings.get("sound"), Some(&1));
        let fault = Fault::until_cleared(FaultKind::Crash { text: "poison".into() });
        let fault = serde_json::to_string(&fault).unwrap();
        send(address, call(3, "POST", "/admin/fault", &fault)).await.unwrap();
        assert!(send(address, book(4, "poison")).await.is_err());
    });
    assert_eq!(process.0.wait().unwrap().code(), Some(70));
}
