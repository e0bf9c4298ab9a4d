//! Deltas between documents.

use briarshift_control::document::edit;
use briarshift_wire::document::Edit;
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::{prop_assert, prop_assert_eq, proptest};

/// Generates text in which some lines repeat, as they do in settings.
fn text() -> impl Strategy<Value = Vec<u8>> {
    let line = prop_oneof![Just("  \"queue_wait_ms\": 5000,\n".to_owned()), "[a-d]{0,60}\n"];
    vec(line, 0..40).prop_map(|lines| lines.concat().into_bytes())
}

/// Returns a document of many accounts, the `n`th of which has the given burst.
fn many_accounts(n: usize, burst: usize) -> Vec<u8> {
    let account = |i: usize| {
        let burst = if i == n { burst } else { 20 };
        let key = format!("{:064x}", i * 7919);
        format!("    {{ \"id\": \"a-{i}\", \"key_sha256\": \"{key}\", \"burst\": {burst} }},\n")
    };
    (0..5_000).map(account).collect::<String>().into_bytes()
}

fn inserted_bytes(edits: &[Edit]) -> usize {
    let length = |edit: &Edit| if let Edit::Insert(bytes) = edit { bytes.len() } else { 0 };
    edits.iter().map(length).sum()
}

#[test]
fn changing_one_account_inserts_only_the_changed_bytes() {
    let edits = edit::diff(&many_accounts(100, 20), &many_accounts(100, 977));
    assert!(edits.len() <= 3 && inserted_bytes(&edits) <= 3, "{edits:?}");
}

#[test]
fn bytes_between_distant_changes_are_copied() {
    let old = many_accounts(1, 30);
    let new = many_accounts(4_000, 977);
    let edits = edit::diff(&old, &new);
    assert_eq!(edit::apply(&old, &edits), Ok(new));
    assert!(inserted_bytes(&edits) < 200, "{}", inserted_bytes(&edits));
}

proptest! {
    #[test]
    fn diff_produces_the_new_document(old in text(), new in text()) {
        prop_assert_eq!(edit::apply(&old, &edit::diff(&old, &new)), Ok(new));
    }

    #[test]
    fn diff_produces_a_document_with_an_insertion(old in text(), at in any::<proptest::sample::Index>(), part in text()) {
        let mut new = old.clone();
        let at = at.index(old.len() + 1);
        new.splice(at..at, part);
        prop_assert_eq!(edit::apply(&old, &edit::diff(&old, &new)), Ok(new));
    }

    #[test]
    fn copies_past_the_end_are_refused(old in text(), offset in any::<u32>(), length in any::<u32>()) {
        let past_end = old.len() < offset as usize + length as usize;
        let result = edit::apply(&old, &[Edit::Copy { offset, length }]);
        prop_assert!(past_end == result.is_err());
    }
}
