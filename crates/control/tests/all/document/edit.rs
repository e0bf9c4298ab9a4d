//! Edits between documents.

use briarshift_control::document::edit;
use briarshift_wire::document::Edit;
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::{prop_assert, prop_assert_eq, proptest};

/// Lines that repeat, as settings do.
fn text() -> impl Strategy<Value = Vec<u8>> {
    let line = prop_oneof![Just("  \"queue_wait_ms\": 5000,\n".to_owned()), "[a-d]{0,60}\n"];
    vec(line, 0..40).prop_map(|lines| lines.concat().into_bytes())
}

/// A document of many accounts, whose `n`th has the given burst.
fn long(n: usize, burst: usize) -> Vec<u8> {
    let account = |i: usize| {
        let burst = if i == n { burst } else { 20 };
        let key = format!("{:064x}", i * 7919);
        format!("    {{ \"id\": \"a-{i}\", \"key_sha256\": \"{key}\", \"burst\": {burst} }},\n")
    };
    (0..5_000).map(account).collect::<String>().into_bytes()
}

fn inserted(edits: &[Edit]) -> usize {
    let length = |edit: &Edit| if let Edit::Insert(bytes) = edit { bytes.len() } else { 0 };
    edits.iter().map(length).sum()
}

#[test]
fn a_change_of_one_account_inserts_its_bytes_only() {
    let edits = edit::diff(&long(100, 20), &long(100, 977));
    assert!(edits.len() <= 3 && inserted(&edits) <= 3, "{edits:?}");
}

#[test]
fn changes_far_apart_don_t_insert_what_is_between() {
    let old = long(1, 30);
    let new = long(4_000, 977);
    let edits = edit::diff(&old, &new);
    assert_eq!(edit::apply(&old, &edits), Ok(new));
    assert!(inserted(&edits) < 200, "{}", inserted(&edits));
}

proptest! {
    #[test]
    fn edits_make_the_new_document(old in text(), new in text()) {
        prop_assert_eq!(edit::apply(&old, &edit::diff(&old, &new)), Ok(new));
    }

    #[test]
    fn edits_make_a_changed_document(old in text(), at in any::<proptest::sample::Index>(), part in text()) {
        let mut new = old.clone();
        let at = at.index(old.len() + 1);
        new.splice(at..at, part);
        prop_assert_eq!(edit::apply(&old, &edit::diff(&old, &new)), Ok(new));
    }

    #[test]
    fn strange_edits_are_refused(old in text(), offset in any::<u32>(), length in any::<u32>()) {
        let past_end = old.len() < offset as usize + length as usize;
        let result = edit::apply(&old, &[Edit::Copy { offset, length }]);
        prop_assert!(past_end == result.is_err());
    }
}
