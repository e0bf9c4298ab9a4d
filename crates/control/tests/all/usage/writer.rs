//! What the store holds is what was counted.

use briarshift_control::usage::audit::{Coverage, audit};
use briarshift_control::usage::record::Record;
use briarshift_control::usage::{Counters, write_interval};
use briarshift_units::{Span, StartNumber};
use proptest::prelude::*;

use super::sample;
use super::vm::{KEY, STEP, Vm, Weather};

#[derive(Debug, Clone)]
enum Act {
    Count(u64),
    Run(u64),
    Weather(Weather, u32),
    NextDay,
}

fn act() -> impl Strategy<Value = Act> {
    let weather = prop_oneof![
        Just(Weather::Lose),
        Just(Weather::Twice),
        Just(Weather::Late),
        Just(Weather::Refuse),
    ];
    prop_oneof![
        6 => (1..1_000_u64).prop_map(Act::Count),
        4 => (1..30_u64).prop_map(Act::Run),
        3 => (weather, 1..5_u32).prop_map(|(weather, calls)| Act::Weather(weather, calls)),
        1 => Just(Act::NextDay),
    ]
}

fn apply(vm: &mut Vm, act: &Act) {
    match act {
        Act::Count(number) => vm.count(&sample(*number)),
        Act::Run(steps) => vm.run(*steps),
        Act::Weather(weather, calls) => vm.weather(*weather, *calls),
        Act::NextDay => vm.next_day(),
    }
}

fn total(records: &[Record], start: StartNumber) -> Counters {
    let of = |record: &&Record| record.body.segment_id.start == start;
    records.iter().filter(of).map(|record| record.body.total).sum()
}

/// Audits all records and returns what one start has written.
fn check(vm: &mut Vm, start: StartNumber) -> Counters {
    let audit = audit(&vm.entries(), Some(&KEY), Coverage::Full);
    assert_eq!(audit.findings, []);
    total(&audit.records, start)
}

proptest! {
    /// Lost answers, repeated, late and refused writes, and days that pass
    /// change nothing: at a drain the store holds exactly what was counted.
    #[test]
    fn sums_are_exact(acts in prop::collection::vec(act(), 1..60)) {
        let mut vm = Vm::new();
        for act in &acts {
            apply(&mut vm, act);
        }
        vm.drain();
        let start = vm.start();
        prop_assert_eq!(check(&mut vm, start), vm.counted);
        prop_assert!(!vm.logged.contains(&"usage_record_altered"), "{:?}", vm.logged);
    }

    /// A VM that dies loses at most what it counted in the last interval.
    #[test]
    fn a_death_loses_one_interval(counts in prop::collection::vec((1..1_000_u64, 0..8_u64), 1..40)) {
        let mut vm = Vm::new();
        let mut times = Vec::new();
        for (number, steps) in &counts {
            vm.count(&sample(*number));
            times.push((vm.now, *number));
            vm.run(*steps);
        }
        let (died_at, start) = (vm.now, vm.start());
        vm.restart();
        vm.run(10);
        let written = check(&mut vm, start);
        // A step more: time goes in steps, and the answer takes one.
        let bound = write_interval(1) + STEP;
        let old = times.iter().filter(|(at, _)| bound < died_at.since(*at));
        let safe: Counters = old.map(|(_, number)| Counters::from_sample(&sample(*number))).sum();
        prop_assert!(safe.prompt_tokens <= written.prompt_tokens, "{safe:?} {written:?}");
    }
}

#[test]
fn the_fleet_writes_four_times_a_second_at_most() {
    for vms in [1, 6, 12, 40, 60, 250, 2_600] {
        let writes = vms as f64 / write_interval(vms).as_secs_f64();
        assert!(writes <= 4.0, "{vms} VMs write {writes} times a second");
    }
    assert_eq!(write_interval(12), Span::from_secs(10));
}

/// Counts many accounts with ids of some length and the largest counts.
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
fn many_accounts_spread_over_segments() {
    check_size(8, 4);
    check_size(128, 4);
}

#[test]
fn a_late_write_does_not_put_counts_back() {
    let mut vm = Vm::new();
    vm.weather(Weather::Late, 1);
    vm.count(&sample(4));
    vm.run(4);
    vm.count(&sample(5));
    vm.drain();
    let start = vm.start();
    assert_eq!(check(&mut vm, start), vm.counted);
}
