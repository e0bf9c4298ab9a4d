//! `briarshift gateway` as processes, and its deploy files.

use std::path::Path;
use std::time::Duration;

use briarshift_settings::Gateway;
use briarshift_soak::caller::{self, Kind, Response};
use briarshift_soak::plan::Plan;
use briarshift_soak::world::World;
use nix::sys::signal::Signal;

const PATIENCE: Duration = Duration::from_secs(10);

async fn world(gateways: usize) -> World {
    let plan = Plan { gateways, ..Plan::new(1, gateways, Duration::ZERO) };
    World::start(&plan, Path::new(env!("CARGO_BIN_EXE_briarshift"))).await.unwrap()
}

async fn booking(world: &World, gateway: usize, attempt: &str) -> Response {
    let client = caller::new_client();
    let key = &world.keys.last().unwrap().0;
    caller::send(&client, world.gateways[gateway].caller_address, Kind::Booking, attempt, key).await
}

fn is_served(answer: &Response) -> bool {
    matches!(answer, Response::Received { status: 200, complete: true, .. })
}

async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    };
    assert!(tokio::time::timeout(PATIENCE, waiting).await.is_ok(), "never: {what}");
}

#[actix_rt::test]
async fn a_killed_gateway_is_back_at_once() {
    let mut world = world(2).await;
    assert!(is_served(&booking(&world, 0, "b1").await));
    world.signal(0, Signal::SIGKILL);
    until("it has ended", async || {
        world.reap();
        !world.is_running(0)
    })
    .await;
    assert!(is_served(&booking(&world, 1, "b2").await));
    world.spawn_gateway(0).unwrap();
    until("it serves again", async || is_served(&booking(&world, 0, "b3").await)).await;
}

#[actix_rt::test]
async fn a_stopped_gateway_ends_well_and_by_itself() {
    let mut world = world(1).await;
    world.signal(0, Signal::SIGTERM);
    assert!(is_served(&booking(&world, 0, "b1").await));
    until("it has ended", async || {
        world.reap();
        !world.is_running(0)
    })
    .await;
}

#[actix_rt::test]
async fn settings_that_can_not_be_used_leave_the_old_ones() {
    let mut world = world(1).await;
    let file = world.directory.path().join("vm-0.json");
    std::fs::write(&file, "{").unwrap();
    world.signal(0, Signal::SIGHUP);
    let log = world.directory.path().join("vm-0.log");
    until("it is logged", async || {
        std::fs::read_to_string(&log).unwrap().contains("event=reload_failed")
    })
    .await;
    assert!(world.reap().is_empty());
    assert!(is_served(&booking(&world, 0, "b1").await));
}

/// Fills in the template as the platform would.
fn rendered() -> String {
    let template = include_str!("../../deploy/process.json");
    let values = [
        ("{{node-name}}", "front-a-1"),
        ("{{zone}}", "a"),
        ("{{ip}}", "10.1.0.40"),
        ("{{bind.front}}", "10.1.0.40:8227"),
        ("{{bind.ready}}", "10.1.0.40:8220"),
        ("{{port-range.0}}", "7340"),
        ("{{platform.address}}", "10.200.1.7:8223"),
        ("{{limits.link-mbps|json}}", "1000.0"),
        ("{{bounds.revoke-ms|json}}", "5000"),
        ("{{bounds.grace-s|json}}", "8"),
        ("{{bounds.retry-budget-ratio|json}}", "0.2"),
        ("{{bounds.budget-extra|json}}", "52"),
        ("{{bounds.budget-window-s|json}}", "10"),
        ("{{bounds.cap-x|json}}", "2"),
    ];
    values.iter().fold(template.to_owned(), |text, (name, value)| text.replace(name, value))
}

#[test]
fn the_settings_template_gives_settings() {
    let text = rendered();
    assert!(!text.contains("{{"), "{text}");
    let settings = Gateway::parse(text.as_bytes()).unwrap();
    assert_eq!(settings.vm.as_str(), "front-a-1");
    assert_eq!(settings.store, "http://10.200.1.7:8223");
    assert_eq!(settings.link_mbit_s, 1000.0);
}
