//! Tests of the platform's service.

use std::time::Duration;

use briarshift_standin::Fault;
use briarshift_standin::platform::{Calls, FaultKind, Server};
use briarshift_store::http::Client;
use briarshift_store::{Error, Expect, Key, Operation, Reply, Store, Version, VmList};
use briarshift_units::Span;

use crate::block_on;

fn put(value: &str) -> Operation {
    Operation::Put { key: Key::from("a"), value: value.into(), expect: Expect::Any, lease: None }
}

fn watch(after: u64) -> Operation {
    Operation::Watch { key: Key::from("a"), after: Version(after), wait: Span::from_secs(30) }
}

fn with_platform(test: impl AsyncFnOnce(&Server, Client)) {
    let server = Server::start().unwrap();
    block_on(test(&server, Client::new(&server.url(), Span::from_millis(500))));
    server.close();
}

#[test]
fn a_watch_waits_and_is_counted_once() {
    with_platform(async |server, client| {
        let other = client.clone();
        let write = async {
            actix_web::rt::time::sleep(Duration::from_millis(20)).await;
            other.execute(put("1")).await
        };
        let (seen, written) = futures::join!(client.execute(watch(0)), write);
        assert_eq!(written, Ok(Reply::Written(Version(1))));
        assert!(matches!(seen, Ok(Reply::Value(Some(entry))) if entry.value == "1"));
        assert_eq!(server.calls(), Calls { watch: 1, put: 1, ..Calls::default() });
    });
}

#[test]
fn a_write_with_a_lost_answer_takes_effect() {
    with_platform(async |server, client| {
        server.inject_fault(Fault::times(FaultKind::LoseAnswers, 1));
        let lost = client.execute(put("1")).await;
        assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
        let read = client.execute(Operation::Get { key: Key::from("a") }).await;
        assert!(matches!(read, Ok(Reply::Value(Some(entry))) if entry.value == "1"));
    });
}

#[test]
fn an_outage_refuses_calls_and_ends_watches() {
    with_platform(async |server, client| {
        let watching = client.execute(watch(0));
        let outage = async {
            actix_web::rt::time::sleep(Duration::from_millis(20)).await;
            server.inject_fault(Fault::until_cleared(FaultKind::Outage));
        };
        let (watched, ()) = futures::join!(watching, outage);
        assert!(matches!(watched, Err(Error::Refused(_))));
        assert!(matches!(client.execute(put("1")).await, Err(Error::Refused(_))));
        assert!(client.list().await.is_err());
        server.clear_faults();
        assert_eq!(client.execute(put("1")).await, Ok(Reply::Written(Version(1))));
        assert_eq!(client.list().await, Ok(Vec::new()));
    });
}

#[test]
fn a_silent_service_does_not_execute_calls() {
    with_platform(async |server, client| {
        server.inject_fault(Fault::times(FaultKind::Silent, 1));
        let lost = client.execute(put("1")).await;
        assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
        let read = client.execute(Operation::Get { key: Key::from("a") }).await;
        assert_eq!(read, Ok(Reply::Value(None)));
    });
}
