//! Crashes are attributed to the prompt part that causes them.

use briarshift_routing::blame::{BLOCK_TIME, Ledger};
use briarshift_units::{Moment, PartId, Span};

const BAD: PartId = PartId(66);

fn at(millis: u64) -> Moment {
    Moment::default() + Span::from_millis(millis)
}

fn parts(ids: &[u64]) -> Vec<PartId> {
    ids.iter().copied().map(PartId).collect()
}

/// Records crashes, each of prompts on one engine, `gap` milliseconds apart. Returns the
/// blocked parts.
fn check(ledger: &mut Ledger<u32>, gap: u64, crashes: &[&[&[u64]]]) -> Vec<PartId> {
    let mut now = at(0);
    for (engine, prompts) in crashes.iter().enumerate() {
        now = at(gap * engine as u64);
        for prompt in *prompts {
            ledger.record_crash(&parts(prompt), engine as u32, now);
        }
    }
    ledger.all_blocked(now).into_iter().collect()
}

#[test]
fn a_bad_part_is_blocked_after_three_crashes_whatever_follows_it() {
    let ledger = &mut Ledger::default();
    assert_eq!(check(ledger, 700, &[&[&[66, 1]], &[&[66, 2]]]), []);
    let ledger = &mut Ledger::default();
    assert_eq!(check(ledger, 700, &[&[&[66, 1]], &[&[66, 2]], &[&[66, 3]]]), [BAD]);
}

#[test]
fn the_first_part_of_a_bad_prompt_is_not_blocked() {
    let ledger = &mut Ledger::default();
    let crash: &[&[u64]] = &[&[1, 66]];
    // Other prompts with the first part are interrupted by the same crashes.
    let with_neighbour: &[&[u64]] = &[&[1, 7], &[1, 66]];
    let crashes = [with_neighbour, crash, with_neighbour, crash, crash, with_neighbour];
    assert_eq!(check(ledger, 700, &crashes), [BAD]);
}

#[test]
fn engines_that_crash_together_blame_no_part() {
    let crash: &[&[u64]] = &[&[1, 2], &[1, 3], &[4, 5]];
    assert_eq!(check(&mut Ledger::default(), 40, &[crash; 10]), []);
}

#[test]
fn a_part_whose_answers_begin_is_not_blocked() {
    let ledger = &mut Ledger::default();
    for number in 0..20_u32 {
        ledger.record_crash(&parts(&[1, 2]), number, at(u64::from(number) * 700));
        if number % 2 == 1 {
            assert_eq!(ledger.record_answer(&parts(&[1, 2])), parts(&[1, 2]));
        }
        assert_eq!(ledger.all_blocked(at(20_000)).len(), 0);
    }
}

#[test]
fn reports_of_one_crash_by_several_vms_count_once() {
    let ledger = &mut Ledger::default();
    for (millis, engine) in [(0, 1), (600, 1), (1_200, 1), (1_300, 2), (1_900, 2)] {
        ledger.record_crash(&[BAD], engine, at(millis));
    }
    assert_eq!(ledger.crashes(BAD), 2);
}

#[test]
fn an_engine_that_crashes_again_after_its_restart_counts_again() {
    let ledger = &mut Ledger::default();
    for crash in 0..3 {
        ledger.record_crash(&[BAD], 1, at(crash * 4_000));
    }
    assert_eq!(ledger.blocked(&[BAD], at(9_000)), Some(BAD));
}

#[test]
fn a_part_that_crashes_an_engine_after_its_block_is_blocked_at_once() {
    let ledger = &mut Ledger::default();
    check(ledger, 700, &[&[&[66]], &[&[66]], &[&[66]]]);
    let later = at(1_400) + BLOCK_TIME;
    ledger.prune(later);
    assert_eq!(ledger.blocked(&[BAD], later), None);
    assert_eq!(ledger.record_crash(&[BAD], 9, later), Some(BAD));
    assert_eq!(ledger.blocked(&[BAD], later), Some(BAD));
}

#[test]
fn an_answer_ends_a_block() {
    let ledger = &mut Ledger::default();
    check(ledger, 700, &[&[&[66]], &[&[66]], &[&[66]]]);
    ledger.record_answer(&[BAD]);
    assert_eq!(ledger.blocked(&[BAD], at(1_500)), None);
}

#[test]
fn a_bad_part_that_prompts_contain_twice_is_blocked() {
    let ledger = &mut Ledger::default();
    for (number, other) in (0_u32..3).zip(7..) {
        ledger.record_crash(&parts(&[66, other, 66]), number, at(u64::from(number) * 700));
    }
    assert_eq!(ledger.blocked(&[BAD], at(1_400)), Some(BAD));
}
