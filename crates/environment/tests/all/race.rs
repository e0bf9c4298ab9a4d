//! Tests of concurrent operators on a store that loses requests and answers.

use briarshift_environment::{AcceptedChange, Error, Operator};
use briarshift_settings::Document;
use briarshift_units::Revision;
use futures::executor::block_on;
use futures::future::join;
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::test_runner::TestCaseError;
use proptest::{prop_assert, prop_assert_eq, proptest};

use super::fake::{Fake, FixedClock, Outcome, Write, document, environment};

fn outcomes() -> impl Strategy<Value = Vec<(Outcome, u8)>> {
    let outcome = prop_oneof![
        6 => Just(Outcome::Answered),
        1 => Just(Outcome::Refused),
        1 => Just(Outcome::RequestLost),
        2 => Just(Outcome::AnswerLost),
        2 => Just(Outcome::Delayed),
    ];
    vec((outcome, prop_oneof![0_u8..4, 4_u8..12]), 0..40)
}

/// Checks that the result of an operator's command agrees with the writes that
/// took effect.
fn check_result(
    text: &str,
    result: &Result<AcceptedChange, Error>,
    writes: &[Write],
) -> Result<(), TestCaseError> {
    let own: Vec<_> = writes.iter().filter(|write| write.text == text).collect();
    prop_assert!(own.len() <= 1, "{} changes", own.len());
    match result {
        Ok(accepted) => {
            prop_assert_eq!(own.first().map(|own| own.revision), Some(accepted.change.revision));
        }
        Err(Error::Superseded { own: revision, by }) => {
            prop_assert_eq!(own.first().map(|own| own.revision), Some(*revision));
            prop_assert!(writes.iter().any(|write| write.revision == *by));
        }
        Err(Error::Conflict { found, replaces, .. }) => {
            prop_assert!(own.is_empty(), "reported a conflict, but the write took effect");
            let winner = writes.iter().find(|write| write.replaced == *replaces);
            prop_assert!(winner.is_some_and(|winner| winner.revision <= *found));
            prop_assert!(writes.iter().any(|write| write.revision == *found));
        }
        Err(Error::Unknown(_)) => {}
        Err(_) => prop_assert!(own.is_empty(), "reported no change, but the write took effect"),
    }
    Ok(())
}

proptest! {
    /// Of two concurrent operators, at most one replaces each revision, and the
    /// results of both agree with what the store did.
    #[test]
    fn concurrent_operators_get_correct_results(outcomes in outcomes(), again in any::<bool>()) {
        let fake = Fake::default();
        let trial = environment("trial");
        let asha = Operator::new(&fake, &FixedClock, "asha");
        let reto = Operator::new(&fake, &FixedClock, "reto");
        let first = block_on(asha.put(&trial, Revision(0), &document("first"))).expect("the put succeeds");
        let first = first.change.revision;
        fake.set_outcomes(outcomes);
        let (a, b, c) = (document("a"), document("b"), document("c"));
        let second = async {
            let result = reto.put(&trial, first, &b).await;
            // The second operator then replaces the current revision.
            let found = match &result {
                Ok(accepted) => accepted.change.revision,
                Err(Error::Conflict { found, .. }) => *found,
                _ => return (result, None),
            };
            let next = if again { Some(reto.put(&trial, found, &c).await) } else { None };
            (result, next)
        };
        let (left, (right, next)) = block_on(join(asha.put(&trial, first, &a), second));
        let writes = fake.writes();
        check_result(&a, &left, &writes)?;
        check_result(&b, &right, &writes)?;
        if let Some(next) = next {
            check_result(&c, &next, &writes)?;
        }
        let mut replaced: Vec<_> = writes.iter().map(|write| write.replaced).collect();
        replaced.dedup();
        prop_assert_eq!(replaced.len(), writes.len(), "two writes replaced the same revision");
    }

    /// Production gets exactly the text that was reported in force in trial,
    /// even if another document is put into trial at the same time.
    #[test]
    fn promotion_uses_only_the_text_reported_in_force(outcomes in outcomes(), reported in prop_oneof![4 => Just(0_u8), 1 => 1..3_u8], in_force in prop_oneof![1 => Just(1_u32), 4 => Just(2)]) {
        let fake = Fake::default();
        let (trial, production) = (environment("trial"), environment("production"));
        let texts = [document("a"), document("b"), document("c")];
        let asha = Operator::new(&fake, &FixedClock, "asha");
        let reto = Operator::new(&fake, &FixedClock, "reto");
        let first = block_on(asha.put(&trial, Revision(0), &texts[0])).expect("the put succeeds");
        let reported_text = &texts[usize::from(reported)];
        fake.report(&trial, Document::digest(reported_text.as_bytes()), in_force);
        fake.set_outcomes(outcomes);
        let promotion = asha.promote(&trial, &production, Revision(0));
        let change = reto.put(&trial, first.change.revision, &texts[1]);
        let _ = block_on(join(promotion, change));
        let promoted = fake.apply(briarshift_store::Operation::Get { key: production.document_key() });
        if let Some(entry) = super::fake::value(promoted) {
            prop_assert_eq!(&entry.value, reported_text);
            prop_assert_eq!(in_force, 2);
        }
    }
}

/// Guards against promoting a document that is put into trial after the
/// promotion has read the trial document.
#[test]
fn documents_put_during_a_promotion_are_not_promoted() {
    let fake = Fake::default();
    let (trial, production) = (environment("trial"), environment("production"));
    let (reported_text, other) = (document("a"), document("b"));
    let asha = Operator::new(&fake, &FixedClock, "asha");
    let first = block_on(asha.put(&trial, Revision(0), &reported_text)).expect("the put succeeds");
    fake.report(&trial, Document::digest(reported_text.as_bytes()), 2);
    // The promotion's second call, which reads the reports, is held back until
    // the other put has finished.
    fake.set_outcomes(vec![(Outcome::Answered, 0), (Outcome::Answered, 12)]);
    let promotion = asha.promote(&trial, &production, Revision(0));
    let change = asha.put(&trial, first.change.revision, &other);
    let (promotion, change) = block_on(join(promotion, change));
    assert!(promotion.is_ok() && change.is_ok(), "{promotion:?} {change:?}");
    let texts: Vec<_> = fake.writes().into_iter().map(|write| write.text).collect();
    assert_eq!(texts, [reported_text.clone(), other, reported_text]);
}
