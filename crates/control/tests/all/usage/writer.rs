//! The stored records contain exactly what was counted.

use briarshift_control::usage::audit::{Coverage, audit};
use briarshift_control::usage::record::Record;
use briarshift_control::usage::{Counters, write_interval};
use briarshift_units::{Span, StartNumber};
use proptest::prelude::*;

use super::sample;
use super::vm::{KEY, STEP, StoreMode, Vm};

#[derive(Debug, Clone)]
enum Action {
    Count(u64),
    Run(u64),
    StoreMode(StoreMode, u32),
    NextDay,
}

fn action() -> impl Strategy<Value = Action> {
    let mode = prop_oneof![
        Just(StoreMode::LoseReply),
        Just(StoreMode::Twice),
        Just(StoreMode::Late),
        Just(StoreMode::Refuse),
    ];
    prop_oneof![
        6 => (1..1_000_u64).prop_map(Action::Count),
        4 => (1..30_u64).prop_map(Action::Run),
        3 => (mode, 1..5_u32).prop_map(|(mode, calls)| Action::StoreMode(mode, calls)),
        1 => Just(Action::NextDay),
    ]
}

fn apply(vm: &mut Vm, action: &Action) {
    match action {
        Action::Count(number) => vm.count(&sample(*number)),
        Action::Run(steps) => vm.run(*steps),
        Action::StoreMode(mode, calls) => vm.set_store_mode(*mode, *calls),
        Action::NextDay => vm.next_day(),
    }
}

fn total(records: &[Record], start: StartNumber) -> Counters {
    let of = |record: &&Record| record.body.segment_id.start == start;
    records.iter().filter(of).map(|record| record.body.total).sum()
}

/// Checks that an audit finds no faults, and returns the counters that one
/// start has written.
fn check(vm: &mut Vm, start: StartNumber) -> Counters {
    let audit = audit(&vm.entries(), Some(&KEY), Coverage::Full);
    assert_eq!(audit.findings, []);
    total(&audit.records, start)
}

proptest! {
    /// Lost replies, repeated, late and refused writes, and changes of day
    /// don't change the result: after a drain the store has exactly what was
    /// counted.
    #[test]
    fn stored_sums_are_exact(actions in prop::collection::vec(action(), 1..60)) {
        let mut vm = Vm::new();
        for action in &actions {
            apply(&mut vm, action);
        }
        vm.drain();
        let start = vm.start();
        prop_assert_eq!(check(&mut vm, start), vm.counted);
        prop_assert!(!vm.logged.contains(&"usage_record_altered"), "{:?}", vm.logged);
    }

    /// A VM that crashes loses at most what it counted in the last interval.
    #[test]
    fn a_crash_loses_at_most_one_interval(counts in prop::collection::vec((1..1_000_u64, 0..8_u64), 1..40)) {
        let mut vm = Vm::new();
        let mut times = Vec::new();
        for (number, steps) in &counts {
            vm.count(&sample(*number));
            times.push((vm.now, *number));
            vm.run(*steps);
        }
        let (crashed_at, start) = (vm.now, vm.start());
        vm.restart();
        vm.run(10);
        let written = check(&mut vm, start);
        // One step more than the interval, since the reply takes one step.
        let bound = write_interval(1) + STEP;
        let old = times.iter().filter(|(at, _)| bound < crashed_at.since(*at));
        let safe: Counters = old.map(|(_, number)| Counters::from_sample(&sample(*number))).sum();
        prop_assert!(safe.prompt_tokens <= written.prompt_tokens, "{safe:?} {written:?}");
    }
}

#[test]
fn the_fleet_writes_at_most_four_times_a_second() {
    for vms in [1, 6, 12, 40, 60, 250, 2_600] {
        let writes = vms as f64 / write_interval(vms).as_secs_f64();
        assert!(writes <= 4.0, "{vms} VMs write {writes} times a second");
    }
    assert_eq!(write_interval(12), Span::from_secs(10));
}

/// Counts many accounts with ids of the given length and very large counters,
/// and checks the number and the size of the records.
fn check_size(length: usize, segments: usize) {
    let mut vm = Vm::new();
    for number in 0..7_000 {
        let mut sample = sample(number);
        sample.account = format!("{number:0length$}").parse().unwrap();
        sample.tokens.prompt = u64::MAX / 8_000;
        sample.tokens.cached = u64::MAX / 8_000;
        sample.queued = Span(u64::MAX / 8_000);
        vm.count(&sample);
    }
    vm.drain();
    let entries = vm.entries();
    assert_eq!(entries.len(), segments);
    assert!(entries.iter().all(|entry| entry.value.len() < 1 << 20));
    let start = vm.start();
    assert_eq!(check(&mut vm, start), vm.counted);
}

#[test]
fn many_accounts_are_split_into_segments() {
    check_size(8, 4);
    check_size(128, 4);
}

#[test]
fn a_late_write_does_not_reset_counters() {
    let mut vm = Vm::new();
    vm.set_store_mode(StoreMode::Late, 1);
    vm.count(&sample(4));
    vm.run(4);
    vm.count(&sample(5));
    vm.drain();
    let start = vm.start();
    assert_eq!(check(&mut vm, start), vm.counted);
}
