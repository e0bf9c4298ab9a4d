//! An audit finds records that were altered, deleted or reset to an older
//! state, and the bill can be recomputed from the records.

use briarshift_control::usage::audit::{Coverage, Fault, audit};
use briarshift_control::usage::bill::{Tariff, split};
use briarshift_control::usage::record::Record;
use briarshift_store::{Entry, Expect, Operation};
use proptest::prelude::*;

use super::sample;
use super::vm::{KEY, Vm};

/// Returns a VM that has written three segments, the middle one twice, and the
/// first record of that one.
fn written() -> (Vm, Entry) {
    let mut vm = Vm::new();
    vm.count(&sample(4));
    vm.run(15);
    vm.next_day();
    vm.count(&sample(5));
    vm.run(15);
    let older = vm.entries()[1].clone();
    vm.count(&sample(6));
    vm.run(15);
    vm.next_day();
    vm.count(&sample(8));
    vm.drain();
    assert_eq!(vm.entries().len(), 3);
    (vm, older)
}

fn put(entry: &Entry, value: String) -> Operation {
    Operation::Put { key: entry.key.clone(), value, expect: Expect::Any, lease: None }
}

#[track_caller]
fn check(vm: &mut Vm, key: &Entry, fault: &Fault) {
    let findings = audit(&vm.entries(), Some(&KEY), Coverage::Full).findings;
    let found = findings.iter().any(|row| row.key == key.key && &row.fault == fault);
    assert!(found, "{fault:?} of {} is not in {findings:?}", key.key);
}

#[test]
fn a_deleted_segment_is_a_gap() {
    let (mut vm, _) = written();
    let entries = vm.entries();
    let key = entries[1].key.clone();
    vm.tamper(Operation::Delete { key, expect: Expect::Any });
    check(&mut vm, &entries[2], &Fault::Gap);
}

#[test]
fn a_segment_reset_to_an_older_record_is_found() {
    let (mut vm, older) = written();
    let entries = vm.entries();
    let value = older.value.clone();
    vm.tamper(put(&older, value));
    check(&mut vm, &entries[2], &Fault::Replaced);
}

#[test]
fn a_record_under_another_key_is_found() {
    let (mut vm, _) = written();
    let entries = vm.entries();
    let value = entries[0].value.clone();
    vm.tamper(put(&entries[1], value));
    check(&mut vm, &entries[1], &Fault::Misplaced);
}

#[test]
fn a_running_vm_detects_an_altered_record_and_writes_its_own_again() {
    let mut vm = Vm::new();
    vm.count(&sample(4));
    vm.run(15);
    let entry = vm.entries().remove(0);
    vm.tamper(put(&entry, "{}".into()));
    vm.count(&sample(5));
    vm.run(15);
    assert!(vm.logged.contains(&"usage_record_altered"));
    let audit = audit(&vm.entries(), Some(&KEY), Coverage::Full);
    assert_eq!(audit.findings, []);
    assert_eq!(audit.records[0].body.total, vm.counted);
}

proptest! {
    /// An audit with the fleet's key finds an altered counter, also if the
    /// total was altered to fit. An audit without the key finds it only if the
    /// total doesn't fit.
    #[test]
    fn an_altered_counter_is_found(segment in 0..3_usize, add in 1..1_000_u64, fits: bool) {
        let (mut vm, _) = written();
        let entry = vm.entries().remove(segment);
        let mut record: Record = serde_json::from_str(&entry.value).unwrap();
        record.body.rows[0].counters.completion_tokens += add;
        if fits {
            record.body.total.completion_tokens += add;
        }
        vm.tamper(put(&entry, record.to_json()));
        check(&mut vm, &entry, &Fault::Altered);
        let without_key = audit(&vm.entries(), None, Coverage::Full).findings;
        prop_assert_eq!(without_key.is_empty(), fits);
    }

    /// The units of all owners add up to the total, and the records of each
    /// line to its counters.
    #[test]
    fn a_bill_adds_up(numbers in prop::collection::vec(1..1_000_u64, 1..60)) {
        let mut vm = Vm::new();
        for number in &numbers {
            vm.count(&sample(*number));
        }
        vm.drain();
        let records = audit(&vm.entries(), Some(&KEY), Coverage::Full).records;
        let bill = split(&records, Tariff::default());
        prop_assert_eq!(bill.shares.iter().map(|share| share.units).sum::<u128>(), bill.units);
        for line in &bill.lines {
            let sum = line.records.iter().map(|source| source.counters).sum();
            prop_assert_eq!(line.counters, sum);
            prop_assert_eq!(Tariff::default().units(&line.counters), line.units);
        }
        prop_assert_eq!(Tariff::default().units(&vm.counted), bill.units);
    }
}
