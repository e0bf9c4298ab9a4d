//! Compares the bill with the counts of the targets, and checks that altered records are found.

use std::time::Duration;

use briarshift::commands::usage::{Options, report};
use briarshift_standin::Fault;
use briarshift_standin::engine::FaultKind;
use briarshift_standin::run::Run;
use briarshift_store::{Expect, Key, Operation, Reply};
use serde_json::Value;

use crate::fleet::{Fleet, caller, engines, message};

/// Starts two VMs, sends chats and bookings through them, and stops them.
async fn fleet_after_requests() -> Fleet {
    let mut fleet = Fleet::start(2, engines(1, 5, Duration::ZERO), 1).await;
    for number in 0..6 {
        let text = message(&format!("draft the rota of week {number}"));
        fleet.chat(number % 2, &text, None, number < 3).await;
    }
    let text = message("and the week after");
    let first = fleet.chat(0, &text, None, false).await;
    fleet.chat(1, &text, first.token.as_deref(), false).await;
    fleet.engines[0].inject_fault(Fault::times(FaultKind::Refuse { retry_after_s: 1 }, 1));
    fleet.chat(0, &text, None, false).await;
    for vm in [0, 1, 0] {
        caller().book(fleet.vms[vm].callers, "pickup-1").await.unwrap();
    }
    for vm in &mut fleet.vms {
        vm.signal("TERM");
        assert!(vm.exited_successfully().await);
    }
    fleet
}

fn report_options(fleet: &Fleet) -> Options {
    let settings = Some(fleet.settings_file(0));
    Options { platform: fleet.platform.url(), settings, json: true, ..Options::default() }
}

fn usage_records(fleet: &Fleet) -> Vec<(Key, String)> {
    let operation = Operation::List { prefix: "usage/".into() };
    let Ok(Reply::Values(entries)) = fleet.platform.execute(operation) else { panic!() };
    entries.into_iter().map(|entry| (entry.key, entry.value)).collect()
}

#[actix_rt::test]
async fn bill_matches_the_counts_of_the_targets() {
    let fleet = fleet_after_requests().await;
    let bill: Value =
        serde_json::from_str(&report(&report_options(&fleet)).await.unwrap()).unwrap();
    let lines = bill["lines"].as_array().unwrap();
    let billed = |name: &str| -> u64 {
        lines.iter().map(|line| line["counters"][name].as_u64().unwrap()).sum()
    };
    let runs = fleet.engines[0].log().runs;
    let counted = |count: fn(&Run) -> u64| runs.iter().map(count).sum::<u64>();
    assert_eq!(runs.len(), 8);
    assert_eq!(billed("refusals"), 1);
    assert_eq!((billed("returns"), billed("returns_held")), (1, 1));
    assert_eq!(billed("prompt_tokens"), counted(|run| run.prompt_tokens));
    assert_eq!(billed("cached_tokens"), counted(|run| run.cached_tokens));
    assert_eq!(billed("completion_tokens"), counted(|run| run.completion_tokens));
    assert_eq!(billed("bookings"), u64::from(fleet.booking_runs("pickup-1")));
    assert_eq!(bill["shares"].as_array().unwrap().len(), 1);
    assert!(lines.iter().all(|line| !line["records"].as_array().unwrap().is_empty()));
}

#[actix_rt::test]
async fn check_reports_an_altered_record() {
    let fleet = fleet_after_requests().await;
    let check_options = || Options { check: true, ..report_options(&fleet) };
    let output = report(&check_options()).await.unwrap();
    assert!(output.contains("records 2, findings 0, codes checked"), "{output}");
    let (key, value) = usage_records(&fleet).remove(0);
    let value = value.replacen("\"requests\":", "\"requests\":9", 1);
    let put = Operation::Put { key: key.clone(), value, expect: Expect::Any, lease: None };
    fleet.platform.execute(put).unwrap();
    let err = report(&check_options()).await.unwrap_err().to_string();
    assert!(err.contains(&format!("{key} is not authentic")), "{err}");
    assert!(err.contains(&format!("{key} has rows that don't add up to its total")), "{err}");
}
