//! Expected lengths of answers, and the memory of engines.

use briarshift_routing::room::{Answers, Length, Lengths, Memory};
use briarshift_units::Moment;
use proptest::prelude::{any, prop};
use proptest::{prop_assert, proptest};

fn hint(hint: u32) -> Length {
    Length { hint: Some(hint), ..Length::default() }
}

/// Learns answers of 5 tokens an event whose hints are off by these factors, by turns.
fn learn(factors: &[f64]) -> Answers {
    let mut answers = Answers::default();
    for (index, factor) in factors.iter().cycle().take(240).enumerate() {
        let tokens = [50, 100, 200][index / factors.len() % 3];
        answers.record((f64::from(tokens) * factor) as u32, tokens / 5);
    }
    answers
}

#[test]
fn exact_hints_are_taken_as_they_are() {
    let answers = learn(&[1.0]);
    assert!(answers.expected(&hint(200)).abs_diff(200) <= 4);
    assert!(answers.expected(&hint(50)).abs_diff(50) <= 4);
}

/// A hint that says ten times as much as usual is worth little where hints are often ten
/// times too high or too low.
#[test]
fn hints_that_are_ten_times_off_count_little() {
    let answers = learn(&[0.1, 1.0, 10.0]);
    let (low, high) = (answers.expected(&hint(10)), answers.expected(&hint(1_000)));
    assert!(40 < low && high < 320, "{low} {high}");
}

#[test]
fn without_a_hint_the_usual_length_is_expected() {
    let expected = learn(&[1.0]).expected(&Length::default());
    assert!((90..160).contains(&expected), "{expected}");
    let most = Length { max_output: Some(60), ..Length::default() };
    assert_eq!(Answers::default().expected(&most), 60);
}

#[test]
fn the_kinds_that_are_kept_are_bounded() {
    let mut lengths = Lengths::default();
    for kind in 0..2_000_u32 {
        lengths.record(&kind, 10, 2, Moment(u64::from(kind)));
    }
    assert_eq!(lengths.len(), 512);
}

proptest! {
    #[test]
    fn an_answer_is_expected_between_one_token_and_its_maximum(
        seen in prop::collection::vec((any::<u32>(), any::<u32>()), 0..40),
        stated in any::<Option<u32>>(),
        most in any::<Option<u32>>(),
    ) {
        let mut answers = Answers::default();
        for (hint, events) in seen {
            answers.record(hint, events);
        }
        let length = Length { prompt: None, max_output: most, hint: stated };
        let expected = answers.expected(&length);
        prop_assert!(1 <= expected && expected <= u64::from(most.unwrap_or(u32::MAX).max(1)));
    }

    /// More requests or parts never give more room, and no sum overflows.
    #[test]
    fn room_shrinks_with_every_request(
        size in any::<u64>(),
        shared in any::<u64>(),
        own in any::<u64>(),
        requests in any::<(u32, u32)>(),
        need in any::<u64>(),
        more in any::<u64>(),
    ) {
        let (known_requests, stated_requests) = requests;
        let memory =
            Memory { size, shared, own, known_requests, stated_requests, has_prompt: false };
        let fuller = Memory { own: own.saturating_add(more), ..memory };
        prop_assert!(fuller.free(need) <= memory.free(need));
        prop_assert!(memory.free(need) <= size);
        if known_requests != 0 && fuller.holds(need) {
            prop_assert!(memory.holds(need) && need <= size);
        }
    }
}
