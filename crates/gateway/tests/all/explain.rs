//! Explanations of where a request would go.

use briarshift_gateway::Kind;
use briarshift_gateway::request::End;
use briarshift_gateway::request::explain::{Answer, Outcome, Question};
use briarshift_store::registry::Name;

use crate::world::{World, expect_send, leaving, prompt};

fn ask(world: &mut World, path: &str, account: Option<&str>) -> Answer {
    let question = Question {
        host: "shop.example".into(),
        path: path.into(),
        account: account.map(|account| account.parse().unwrap()),
        attempt: "any".parse().unwrap(),
        deadline: None,
        parts: prompt(1, 2),
    };
    world.state.explain(world.now, 1, &question)
}

fn cause(answer: &Answer) -> &str {
    match &answer.outcome {
        Outcome::Refuse { cause, .. } => cause,
        Outcome::Send { .. } => "none",
    }
}

#[test]
fn an_explanation_names_the_target_that_the_request_then_gets() {
    let mut world = World::new(&["t-1", "t-2", "t-3"]);
    let answer = ask(&mut world, "/chat/a", Some("bakery"));
    let send = expect_send(world.arrive_with("/chat/a", |it| it.parts = prompt(1, 2)));
    let Outcome::Send { target, unread_tokens, .. } = &answer.outcome else { panic!() };
    assert_eq!((target, *unread_tokens), (&send.target, 9_000));
    assert_eq!(answer.candidates.len(), 3);
}

#[test]
fn an_explanation_changes_nothing() {
    let mut asked = World::new(&["t-1", "t-2"]);
    let mut other = World::new(&["t-1", "t-2"]);
    let (log, decisions) = (asked.log.len(), asked.decisions.len());
    for _ in 0..5 {
        ask(&mut asked, "/chat/a", Some("bakery"));
    }
    assert_eq!((asked.log.len(), asked.decisions.len()), (log, decisions));
    assert_eq!(asked.state.status(asked.now), other.state.status(other.now));
    let sends = [&mut asked, &mut other].map(|world| expect_send(world.arrive("/safe/a")));
    assert_eq!(sends[0].target, sends[1].target);
    asked.end(&sends[0], End::Complete { ok: true });
}

#[test]
fn a_target_that_is_passed_over_is_named_with_the_reason() {
    let mut world = World::new(&["t-1", "t-2"]);
    world.change_row(Name::Target("t-2".parse().unwrap()), Some(leaving("t-2")));
    let answer = ask(&mut world, "/safe/a", Some("bakery"));
    let passed_over = &answer.passed_over;
    assert_eq!(passed_over.len(), 1);
    assert_eq!(
        (passed_over[0].target.as_str(), passed_over[0].reason.as_str()),
        ("t-2", "leaving")
    );
}

#[test]
fn a_refusal_is_explained_by_its_cause() {
    let mut world = World::new(&["t-1"]);
    assert_eq!(cause(&ask(&mut world, "/nothing/a", Some("bakery"))), "no_route");
    assert_eq!(cause(&ask(&mut world, "/safe/a", Some("stranger"))), "no_account");
    assert_eq!(cause(&ask(&mut world, "/safe/a", None)), "no_account");
    world.change_row(Name::Target("t-1".parse().unwrap()), None);
    assert_eq!(cause(&ask(&mut world, "/safe/a", Some("bakery"))), "no_target");
}

/// A VM that was cut off from the store, or is about to stop, would refuse the request.
#[test]
fn what_the_vm_itself_refuses_is_explained_too() {
    let mut world = World::new(&["t-1"]);
    world.advance(4_000);
    assert_eq!(cause(&ask(&mut world, "/safe/a", Some("bakery"))), "stale");
    let mut world = World::new(&["t-1"]);
    world.apply(Kind::Drain);
    world.advance(2_700);
    assert_eq!(cause(&ask(&mut world, "/chat/a", Some("bakery"))), "leaving");
    let mut world = World::empty("vm-1");
    assert_eq!(cause(&ask(&mut world, "/safe/a", Some("bakery"))), "not_ready");
}
