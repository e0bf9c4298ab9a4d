//! Configurations that this VM can't use.

use std::sync::Arc;

use briarshift_catalog::{Catalog, Route};
use briarshift_gateway::Kind;
use briarshift_gateway::request::Cause;
use briarshift_store::Position;
use briarshift_store::registry::{Name, Value};
use briarshift_units::{Moment, Revision, Span};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::sync::{Request, Response};

use crate::world::{KEY, World, bounds, catalog, changes, expect_refusal, expect_send, member};

fn unusable() -> Value {
    Value::Unusable("the identifier contains ' '".into())
}

/// Creates a VM whose configuration of revision 4 was replaced by `stored`, and lets it
/// read no further changes until a confirmation from before is too old.
fn replaced(stored: Option<Value>) -> World {
    let mut world = World::new(&["t-1"]);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.change_row(Name::Catalog, Some(catalog(4, KEY)));
    expect_send(world.arrive("/safe/a"));
    world.change_row(Name::Catalog, stored);
    let until = world.now + bounds().key_age;
    while world.now <= until {
        world.advance(400);
        world.reply_rows(changes(), Ok(Vec::new()));
    }
    world
}

/// Guards against keys that run for ever after a change that this VM can't read: reads
/// of the store confirmed the configuration before.
#[test]
fn a_configuration_that_cannot_be_used_does_not_confirm_the_one_before() {
    for stored in [Some(unusable()), Some(catalog(3, KEY)), None] {
        let mut world = replaced(stored);
        assert_eq!(expect_refusal(world.arrive("/safe/a")), Cause::Stale);
        let unknown = world.arrive_with("/safe/a", |arrival| arrival.key = Some("new".into()));
        assert_eq!(expect_refusal(unknown), Cause::Stale);
        assert!(!world.state.status(world.now).ready);
        expect_send(world.arrive("/open/a"));
    }
}

#[test]
fn the_next_configuration_that_can_be_used_is_confirmed() {
    let mut world = replaced(Some(unusable()));
    world.change_row(Name::Catalog, Some(catalog(9, "key-2")));
    assert_eq!(world.state.status(world.now).revision, Revision(9));
    expect_send(world.arrive_with("/safe/a", |arrival| arrival.key = Some("key-2".into())));
    assert_eq!(expect_refusal(world.arrive("/safe/a")), Cause::NoAccount);
    let lines: Vec<_> = world.log.iter().filter(|line| line.contains("event=catalog_")).collect();
    assert!(lines[0].starts_with("event=catalog_superseded"), "{lines:?}");
    assert!(lines[1].starts_with("event=catalog_confirmed"), "{lines:?}");
}

/// Guards against a whole fleet that reads the store because its delegates' configuration
/// is not confirmed.
#[test]
fn peers_are_told_how_recent_the_rows_are() {
    let mut world = replaced(Some(unusable()));
    let request =
        Request { from: "vm-2".parse().unwrap(), sent_at: Moment(5), after: Position::first(0) };
    let Response { age, .. } = response(&mut world, request);
    assert_eq!(age, Span::ZERO);
}

/// Guards against a peer's word that confirms a configuration which the peer can't read.
#[test]
fn a_peer_does_not_confirm_a_configuration_that_the_store_has_replaced() {
    let mut world = replaced(Some(unusable()));
    let after = Position::first(world.version() - 1);
    let request = Request { from: "vm-2".parse().unwrap(), sent_at: Moment(5), after };
    let rows = response(&mut world, request).rows.unwrap();
    assert_eq!(rows.len(), 1);
    assert_eq!((&rows[0].name, &rows[0].value), (&Name::Catalog, &Some(unusable())));
}

fn response(world: &mut World, request: Request) -> Response {
    world.apply(Kind::Datagram(Datagram::SyncRequest(request)));
    match world.datagrams.pop() {
        Some(Datagram::SyncResponse(response)) => response,
        datagram => panic!("{datagram:?}"),
    }
}

/// Guards against requests of an unusable route that a shorter one serves, and against 401
/// for a key that exists.
#[test]
fn requests_that_hang_on_an_unusable_row_are_refused_as_not_run() {
    let mut world = World::new(&["t-1"]);
    let route = |path: &str, pool: &str| {
        Route::builder(path, "shop.example", path).pool(pool.parse().unwrap(), 1).public(true)
    };
    let catalog = Catalog::builder(Revision(4))
        .route(route("/", "desk").build())
        .route(route("/odd/", "desk").unusable().build())
        .route(route("/other/", "other").build())
        .route(route("/keyed/", "desk").public(false).build())
        .unusable_pool("other".parse().unwrap())
        .unusable_account(["key-5".into()])
        .build();
    world.change_row(Name::Catalog, Some(Value::Catalog(Arc::new(catalog))));
    expect_send(world.arrive("/sound/a"));
    for path in ["/odd/a", "/other/a"] {
        assert_eq!(expect_refusal(world.arrive(path)), Cause::Unusable);
    }
    let mut keyed = |key: &str| {
        let key = Some(key.into());
        expect_refusal(world.arrive_with("/keyed/a", |arrival| arrival.key = key))
    };
    assert_eq!(["key-5", "key-6"].map(&mut keyed), [Cause::Unusable, Cause::NoAccount]);
    assert!(Cause::Unusable.is_not_run());
}
