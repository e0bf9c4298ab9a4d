//! Tests of desk runners.

use briarshift_standin::Fault;
use briarshift_standin::engine::FaultKind;
use briarshift_standin::runner::{Server, Settings};
use briarshift_target::Failure;

use crate::{block_on, call, send};

fn with_runner(test: impl AsyncFnOnce(&Server)) {
    let runner = Server::start(Settings::default()).unwrap();
    block_on(test(&runner));
    runner.close();
}

#[test]
fn runs_are_counted_by_booking() {
    with_runner(async |runner| {
        let book = |number| call(number, "POST", "/bookings", r#"{"booking":"b1"}"#);
        let (head, body) = send(runner.address(), book(1)).await.unwrap();
        assert_eq!(head.echoed_id.as_deref(), Some("0000000000000001.1"));
        assert_eq!(body, r#"{"booking":"b1"}"#);
        runner.inject_fault(Fault::times(FaultKind::Cut { after: 0 }, 1));
        let dropped = send(runner.address(), book(2)).await.map(|(head, body)| (head.status, body));
        assert!(matches!(dropped, Err(Failure::Broken(_))), "{dropped:?}");
        runner.inject_fault(Fault::times(FaultKind::OmitEnd, 1));
        let (head, torn) = send(runner.address(), book(3)).await.unwrap();
        assert!(head.length.is_some_and(|length| (torn.len() as u64) < length), "{torn}");
        assert_eq!(runner.log().bookings.get("b1"), Some(&3));
    });
}

#[test]
fn a_refused_call_is_not_run() {
    with_runner(async |runner| {
        runner.inject_fault(Fault::times(FaultKind::Refuse { retry_after_s: 1 }, 1));
        let stock = |number| call(number, "GET", "/stock/rolls/57mm", "");
        assert_eq!(send(runner.address(), stock(1)).await.unwrap().0.status, 503);
        assert!(runner.log().runs.is_empty());
        assert_eq!(send(runner.address(), stock(2)).await.unwrap().0.status, 200);
        assert_eq!(runner.log().runs.len(), 1);
    });
}
