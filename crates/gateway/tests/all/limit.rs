//! Targets that name a limit on the requests that they accept.

use briarshift_gateway::Kind;
use briarshift_gateway::request::{End, Event as Request, Send};
use briarshift_gateway::target::Report;
use briarshift_units::RequestRate;

use crate::world::{World, expect_send};

/// Ends a send with a success that names a limit, or none.
fn complete(world: &mut World, send: &Send, limit: Option<RequestRate>) {
    let report = Some(Report { load: None, limit });
    let end = End::Complete { ok: true };
    world.apply(Kind::Request(Request::SendEnded { id: send.id, end, report }));
}

#[test]
fn a_limit_that_a_target_names_is_logged_when_it_changes() {
    let mut world = World::new(&["t-1"]);
    for limit in [Some(RequestRate(2_600)), Some(RequestRate(2_600)), None, None] {
        let send = expect_send(world.arrive("/safe/a"));
        complete(&mut world, &send, limit);
    }
    let logged = world.log.iter().filter(|line| line.contains("target_limit"));
    let limits: Vec<_> = logged.filter_map(|line| line.split_once(" limit=")).collect();
    let line = "event=target_limit target=t-1";
    assert_eq!(limits, [(line, "2.600/s"), (line, "none")]);
}
