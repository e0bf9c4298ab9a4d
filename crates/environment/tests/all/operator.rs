//! One operator's commands.

use briarshift_environment::{Error, MAX_CHANGES, Operator, Source};
use briarshift_settings::Document;
use briarshift_store::Operation;
use briarshift_units::Revision;
use futures::executor::block_on;

use super::fake::{Fake, Fate, Still, document, environment, value};

fn with<T>(fake: &Fake, act: impl AsyncFnOnce(Operator<'_>) -> T) -> T {
    block_on(act(Operator::new(fake, &Still, "asha")))
}

/// Puts a first document over calls with these fates.
#[track_caller]
fn check(fates: &[Fate], expected: impl Fn(&Result<Revision, Error>) -> bool, writes: usize) {
    let fake = Fake::new(fates.iter().map(|&fate| (fate, 0)).collect());
    let put = async |operator: Operator<'_>| {
        operator.put(&environment("trial"), Revision(0), &document("a")).await
    };
    let result = with(&fake, put).map(|accepted| accepted.change.revision);
    assert!(expected(&result), "{result:?}");
    assert_eq!(fake.writes().len(), writes);
}

#[test]
fn a_put_survives_lost_answers() {
    use Fate::{AnswerLost, Answered, Late, NeverArrives, Refused};
    // The calls: read, keep the bytes, write, read back, write again.
    check(&[Answered, Answered, AnswerLost], Result::is_ok, 1);
    check(&[Answered, Answered, NeverArrives], Result::is_ok, 1);
    check(&[Answered, Answered, Late], Result::is_ok, 1);
    check(&[Answered, Answered, Late, Answered, Refused], Result::is_ok, 1);
    check(&[Answered, Answered, AnswerLost, NeverArrives, Refused], Result::is_ok, 1);
    let is_refused = |result: &_| matches!(result, Err(Error::Store(_)));
    check(&[Answered, Answered, Refused], is_refused, 0);
    check(&[Refused], is_refused, 0);
    let is_unknown = |result: &_| matches!(result, Err(Error::Unknown(_)));
    let mut outage = vec![Answered, Answered, AnswerLost];
    outage.extend([Refused; 5]);
    check(&outage, is_unknown, 1);
}

#[test]
fn an_invalid_document_is_not_put() {
    let fake = Fake::default();
    let put =
        async |operator: Operator<'_>| operator.put(&environment("trial"), Revision(0), "{}").await;
    assert!(matches!(with(&fake, put), Err(Error::Faults(_))));
    assert_eq!(fake.writes(), []);
}

#[test]
fn a_conflict_names_the_other_revision_and_its_author() {
    let fake = Fake::default();
    let trial = environment("trial");
    let first = with(&fake, async |operator| {
        operator.put(&trial, Revision(0), &document("a")).await.expect("accepted").change.revision
    });
    let second =
        with(&fake, async |operator| operator.put(&trial, Revision(0), &document("b")).await);
    let (environment, replaces) = (trial, Revision(0));
    let author = Some("asha".into());
    assert_eq!(second, Err(Error::Conflict { environment, replaces, found: first, author }));
}

#[test]
fn history_and_diff_show_what_was_replaced() {
    let fake = Fake::default();
    let trial = environment("trial");
    with(&fake, async |operator| {
        let first = operator.put(&trial, Revision(0), &document("a")).await.expect("accepted");
        let first = first.change.revision;
        let second = operator.put(&trial, first, &document("b")).await.expect("accepted");
        let changes = operator.history(&trial).await.expect("a history");
        assert_eq!(changes[0], second.change);
        assert_eq!(changes[0].replaced.as_ref().map(|old| old.revision), Some(first));
        let old = operator.show_revision(&trial, first).await.expect("kept");
        let new = operator.show(&trial).await.expect("a document");
        let diff = Operator::diff(&old, &new);
        assert!(diff.contains("-      \"id\": \"a\"") && diff.contains("+      \"id\": \"b\""));
    });
}

#[test]
fn history_is_bounded() {
    let fake = Fake::default();
    let trial = environment("trial");
    with(&fake, async |operator| {
        let mut revision = Revision(0);
        for n in 0..MAX_CHANGES + 5 {
            let put = operator.put(&trial, revision, &document(&format!("a-{n}"))).await;
            revision = put.expect("accepted").change.revision;
        }
        assert_eq!(operator.history(&trial).await.expect("a history").len(), MAX_CHANGES);
    });
    let first = Document::digest(document("a-0").as_bytes());
    assert_eq!(value(fake.apply(Operation::Get { key: trial.bytes_key(first) })), None);
}

/// Promotes a document that `in_force` of two VMs run in trial.
#[track_caller]
fn check_promotion(reported: &str, in_force: u32, is_promoted: bool) {
    let fake = Fake::default();
    let (trial, production) = (environment("trial"), environment("production"));
    fake.report(&trial, Document::digest(document(reported).as_bytes()), in_force);
    let result = with(&fake, async |operator| {
        operator.put(&trial, Revision(0), &document("a")).await.expect("accepted");
        operator.promote(&trial, &production, Revision(0)).await
    });
    let Ok(accepted) = result else {
        assert!(matches!(result, Err(Error::NotInForce { .. })), "{result:?}");
        assert!(!is_promoted);
        return assert_eq!(fake.writes().len(), 1);
    };
    assert!(is_promoted);
    assert!(matches!(accepted.change.source, Source::Promotion { .. }));
    let entry = value(fake.apply(Operation::Get { key: production.document_key() }));
    assert_eq!(entry.map(|entry| entry.value), Some(document("a")));
}

#[test]
fn only_what_is_in_force_in_trial_is_promoted() {
    check_promotion("a", 2, true);
    check_promotion("a", 1, false);
    check_promotion("b", 2, false);
}
