//! Configurations come in quick succession.

use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::Client;
use crate::store::Store;
use crate::world::{
    Directory, Gateway, Record, Run, Runner, RunnerOptions, Serve, config, headers, loopback_ip,
    public_route, route,
};

/// Bound on changes (`config-deadline-ms`).
const CONFIG_DEADLINE: Duration = Duration::from_millis(2_000);
/// Routes that no client asks for.
const IDLE_ROUTES: usize = 1_640;
/// A change each `GAP`, for 1.5 s.
const VERSIONS: usize = 25;
const GAP: Duration = Duration::from_millis(60);
/// How long clients ask after the last version.
const WATCHED: Duration = Duration::from_secs(30);
const KEY: &str = "key-1";

/// The first `moved` of the routes `/m-NUMBER/` go to the service `new`, the others still
/// to `old`. Those with an even number need no key.
fn document(version: u64, moved: usize) -> String {
    let mut routes = Vec::new();
    for number in 0..VERSIONS {
        let service = if number < moved { "new" } else { "old" };
        let (name, public) = (format!("m-{number}"), number % 2 == 0);
        routes.push(public_route(&name, "safe", service, 2, 1_000, public));
    }
    for number in 0..IDLE_ROUTES {
        routes.push(route(&format!("idle-{number:05}"), "safe", "old", 2, 1_000));
    }
    config(version, &routes, &["old", "new"], &[KEY.to_owned()])
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let (ip, directory, store) = (loopback_ip(), Directory::new(), Store::new());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let first = document(10, 0);
    record.line(format!("the configuration has {} bytes", first.len()));
    store.put("op/config", first.as_bytes());
    for (id, service) in [("o-1", "old"), ("o-2", "old"), ("n-1", "new"), ("n-2", "new")] {
        let serve = Serve::Plain(Duration::from_millis(15));
        let options =
            RunnerOptions { id, service, zone: "aarau", serve, poison: None, keeps_id: false };
        Runner::start(&ip, &store, record, &runs, options);
    }
    let mut gateways: Vec<_> = ["front-aarau-1", "front-aarau-2", "front-aarau-3"]
        .map(|name| Gateway::new(&ip, &store, &directory.0, name, "aarau"))
        .into();
    gateways.iter_mut().for_each(Gateway::spawn);
    if !gateways.iter().all(Gateway::wait_ready) {
        return Err("not all gateways are ready".into());
    }
    sleep(Duration::from_secs(6));
    // Each version of the storm moves one more route. Without the storm one version moves
    // them all.
    let steps: Vec<usize> = if trouble { (1..=VERSIONS).collect() } else { vec![VERSIONS] };
    for (index, moved) in steps.into_iter().enumerate() {
        let (version, began) = (13 + 3 * index as u64, Instant::now());
        store.put("op/config", document(version, moved).as_bytes());
        record.line(format!("version {version} is acknowledged: {moved} routes are moved"));
        sleep(GAP.saturating_sub(began.elapsed()));
    }
    // All routes that clients ask for from now on have moved.
    let moved_at = Instant::now();
    let (mut late, mut refused, mut asked, mut number) = (0, 0, 0, 0);
    while moved_at.elapsed() < WATCHED {
        for gateway in &gateways {
            for route in [VERSIONS - 1, VERSIONS - 2] {
                number += 1;
                let attempt = format!("ask-{number}");
                let since = moved_at.elapsed();
                let Ok(mut client) = Client::open(gateway.caller) else { continue };
                let (head, patience) = (headers(&attempt, KEY, 1_000), Duration::from_secs(2));
                let path = format!("/m-{route}/1");
                let answer = client.ask("GET", &path, &head, b"", patience);
                record.line(format!(
                    "{attempt} {path} at {}, {} ms after the last acknowledgement: {} {} ready {}",
                    gateway.name,
                    since.as_millis(),
                    answer.status,
                    answer.seal,
                    gateway.is_ready()
                ));
                if since <= CONFIG_DEADLINE {
                    continue;
                }
                asked += 1;
                refused += usize::from(answer.status == 503);
                let of_old = |run: &Run| run.attempt == attempt && run.runner.starts_with("o-");
                if runs.lock().unwrap().iter().any(of_old) {
                    record.line(format!("{attempt} was run by the OLD service"));
                    late += 1;
                }
            }
        }
        sleep(Duration::from_millis(250));
    }
    record.line(format!(
        "sent later than the deadline: {asked}; run by the old service: {late}; answered 503: \
         {refused}"
    ));
    Ok(0 < late)
}
