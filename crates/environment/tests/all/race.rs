//! Racing operators over a store that loses answers.

use briarshift_environment::{AcceptedChange, Error, Operator};
use briarshift_settings::Document;
use briarshift_units::Revision;
use futures::executor::block_on;
use futures::future::join;
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::test_runner::TestCaseError;
use proptest::{prop_assert, prop_assert_eq, proptest};

use super::fake::{Fake, Fate, Still, Write, document, environment};

fn fates() -> impl Strategy<Value = Vec<(Fate, u8)>> {
    let fate = prop_oneof![
        6 => Just(Fate::Answered),
        1 => Just(Fate::Refused),
        1 => Just(Fate::NeverArrives),
        2 => Just(Fate::AnswerLost),
        2 => Just(Fate::Late),
    ];
    vec((fate, prop_oneof![0_u8..4, 4_u8..12]), 0..40)
}

/// What an operator was told agrees with what the store did.
fn agree(
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
            prop_assert!(own.is_empty(), "told of a conflict, but accepted");
            let winner = writes.iter().find(|write| write.replaced == *replaces);
            prop_assert!(winner.is_some_and(|winner| winner.revision <= *found));
            prop_assert!(writes.iter().any(|write| write.revision == *found));
        }
        Err(Error::Unknown(_)) => {}
        Err(_) => prop_assert!(own.is_empty(), "told that nothing changed"),
    }
    Ok(())
}

proptest! {
    /// Of two operators one wins each revision, and both are told the truth.
    #[test]
    fn racing_operators_are_told_the_truth(fates in fates(), again in any::<bool>()) {
        let fake = Fake::default();
        let trial = environment("trial");
        let asha = Operator::new(&fake, &Still, "asha");
        let reto = Operator::new(&fake, &Still, "reto");
        let first = block_on(asha.put(&trial, Revision(0), &document("first"))).expect("accepted");
        let first = first.change.revision;
        fake.tell(fates);
        let (a, b, c) = (document("a"), document("b"), document("c"));
        let second = async {
            let result = reto.put(&trial, first, &b).await;
            // A rival who reads on and replaces what he finds.
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
        agree(&a, &left, &writes)?;
        agree(&b, &right, &writes)?;
        if let Some(next) = next {
            agree(&c, &next, &writes)?;
        }
        let mut replaced: Vec<_> = writes.iter().map(|write| write.replaced).collect();
        replaced.dedup();
        prop_assert_eq!(replaced.len(), writes.len(), "two winners of a revision");
    }

    /// Production gets the very text that was reported in force in trial,
    /// whatever is put into trial meanwhile.
    #[test]
    fn promotion_moves_the_proven_text_only(fates in fates(), reported in prop_oneof![4 => Just(0_u8), 1 => 1..3_u8], in_force in prop_oneof![1 => Just(1_u32), 4 => Just(2)]) {
        let fake = Fake::default();
        let (trial, production) = (environment("trial"), environment("production"));
        let texts = [document("a"), document("b"), document("c")];
        let asha = Operator::new(&fake, &Still, "asha");
        let reto = Operator::new(&fake, &Still, "reto");
        let first = block_on(asha.put(&trial, Revision(0), &texts[0])).expect("accepted");
        let proven = &texts[usize::from(reported)];
        fake.report(&trial, Document::digest(proven.as_bytes()), in_force);
        fake.tell(fates);
        let promotion = asha.promote(&trial, &production, Revision(0));
        let change = reto.put(&trial, first.change.revision, &texts[1]);
        let _ = block_on(join(promotion, change));
        let promoted = fake.apply(briarshift_store::Operation::Get { key: production.document_key() });
        if let Some(entry) = super::fake::value(promoted) {
            prop_assert_eq!(&entry.value, proven);
            prop_assert_eq!(in_force, 2);
        }
    }
}

/// The trial document is replaced between the proof and the write.
#[test]
fn what_is_put_into_trial_meanwhile_is_not_promoted() {
    let fake = Fake::default();
    let (trial, production) = (environment("trial"), environment("production"));
    let (proven, other) = (document("a"), document("b"));
    let asha = Operator::new(&fake, &Still, "asha");
    let first = block_on(asha.put(&trial, Revision(0), &proven)).expect("accepted");
    fake.report(&trial, Document::digest(proven.as_bytes()), 2);
    // The promotion's second call, for the reports, waits for the other put.
    fake.tell(vec![(Fate::Answered, 0), (Fate::Answered, 12)]);
    let promotion = asha.promote(&trial, &production, Revision(0));
    let change = asha.put(&trial, first.change.revision, &other);
    let (promotion, change) = block_on(join(promotion, change));
    assert!(promotion.is_ok() && change.is_ok(), "{promotion:?} {change:?}");
    let texts: Vec<_> = fake.writes().into_iter().map(|write| write.text).collect();
    assert_eq!(texts, [proven.clone(), other, proven]);
}
