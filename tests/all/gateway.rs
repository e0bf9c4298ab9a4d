//! `briarshift gateway` processes and the template of their settings file.

use std::path::Path;
use std::time::Duration;

use briarshift_soak::caller::{self, Kind, Response};
use briarshift_soak::plan::Plan;
use briarshift_soak::world::World;
use nix::sys::signal::Signal;

/// Longest time that [`until`] waits for a condition.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts gateways, with stand-ins for the store and the targets.
async fn start_world(gateways: usize) -> World {
    let plan = Plan { gateways, ..Plan::new(1, gateways, Duration::ZERO) };
    World::start(&plan, Path::new(env!("CARGO_BIN_EXE_briarshift"))).await.unwrap()
}

/// Sends a booking to a gateway.
async fn book(world: &World, gateway: usize, attempt: &str) -> Response {
    let client = caller::new_client();
    let key = &world.keys.last().unwrap().0;
    caller::send(&client, world.gateways[gateway].caller_address, Kind::Booking, attempt, key).await
}

/// Returns true for a complete answer with status 200.
fn is_served(response: &Response) -> bool {
    matches!(response, Response::Received { status: 200, complete: true, .. })
}

/// Waits for a condition; panics after [`TIMEOUT`].
async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let polling = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    };
    assert!(tokio::time::timeout(TIMEOUT, polling).await.is_ok(), "timed out waiting until {what}");
}

#[actix_rt::test]
async fn killed_gateway_serves_again_after_a_restart() {
    let mut world = start_world(2).await;
    assert!(is_served(&book(&world, 0, "b1").await));
    world.signal(0, Signal::SIGKILL);
    until("the gateway has exited", async || {
        world.reap();
        !world.is_running(0)
    })
    .await;
    assert!(is_served(&book(&world, 1, "b2").await));
    world.spawn_gateway(0).unwrap();
    until("the gateway serves again", async || is_served(&book(&world, 0, "b3").await)).await;
}

#[actix_rt::test]
async fn terminated_gateway_serves_and_exits() {
    let mut world = start_world(1).await;
    world.signal(0, Signal::SIGTERM);
    assert!(is_served(&book(&world, 0, "b1").await));
    until("the gateway has exited", async || {
        world.reap();
        !world.is_running(0)
    })
    .await;
}

#[actix_rt::test]
async fn invalid_settings_leave_the_old_ones_in_force() {
    let mut world = start_world(1).await;
    let file = world.directory.path().join("vm-0.json");
    std::fs::write(&file, "{").unwrap();
    world.signal(0, Signal::SIGHUP);
    let log = world.directory.path().join("vm-0.log");
    until("the failed reload is logged", async || {
        std::fs::read_to_string(&log).unwrap().contains("event=reload_failed")
    })
    .await;
    assert!(world.reap().is_empty());
    assert!(is_served(&book(&world, 0, "b1").await));
}
