//! A key is revoked while the machine that reads the store for its zone starts again.

use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::Client;
use crate::store::Store;
use crate::world::{
    Directory, Gateway, Record, Run, Runner, RunnerOptions, Serve, config, headers, loopback_ip,
    route,
};

/// Bound on revoked keys (`revoke-ms`).
const REVOKE: Duration = Duration::from_millis(5_000);
/// Routes of the configuration, which make it larger than the rest of a page.
const IDLE_ROUTES: usize = 3_300;
const KEYS: usize = 5;
/// After the last round clients ask once more so much later.
const STILL: Duration = Duration::from_secs(15);

fn document(version: u64, keys: &[String]) -> String {
    let mut routes = vec![route("stock", "safe", "desk", 2, 1_000)];
    for number in 0..IDLE_ROUTES {
        routes.push(route(&format!("idle-{number:05}"), "safe", "desk", 2, 1_000));
    }
    config(version, &routes, &["desk"], keys)
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let began = Instant::now();
    let (ip, directory, store) = (loopback_ip(), Directory::new(), Store::new());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let keys: Vec<String> = (0..KEYS).map(|number| format!("key-{number}")).collect();
    let mut version = 10;
    let first = document(version, &keys);
    record.line(format!("the configuration has {} bytes", first.len()));
    store.put("op/config", first.as_bytes());
    for id in ["r-1", "r-2", "r-3"] {
        let serve = Serve::Plain(Duration::from_millis(15));
        let options = RunnerOptions { id, service: "desk", zone: "aarau", serve, poison: None, keeps_id: false };
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
    let (mut broken, mut last) = (false, None);
    for round in 0..KEYS - 1 {
        let reader = reader(&store, &gateways);
        version += 3;
        let (key, document) = (keys[round].clone(), document(version, &keys[round + 1..]));
        let acknowledged: Arc<Mutex<Option<Instant>>> = Arc::default();
        let (note, at, of) = (record.clone(), Arc::clone(&acknowledged), key.clone());
        let revoke = move |store: &Store| {
            store.put("op/config", document.as_bytes());
            *at.lock().unwrap() = Some(Instant::now());
            note.line(format!("version {version} without {of} is acknowledged"));
        };
        if trouble {
            record.line(format!("{} is killed", gateways[reader].name));
            gateways[reader].kill();
            sleep(Duration::from_millis(300));
            // It starts again right after another machine has read the store by itself.
            wait_for_read(&store, &gateways, reader);
            store.before_next_page(gateways[reader].store_port, revoke);
            record.line(format!("{} starts again", gateways[reader].name));
            gateways[reader].spawn();
        } else {
            revoke(&store);
        }
        while acknowledged.lock().unwrap().is_none() {
            if began.elapsed() > Duration::from_secs(110) {
                return Err("the gateway did not read the store".into());
            }
            sleep(Duration::from_millis(5));
        }
        let at = acknowledged.lock().unwrap().expect("it is set");
        sleep((at + REVOKE + Duration::from_millis(500)).duration_since(Instant::now()));
        broken |= ask(record, &gateways, &runs, &key, "early", at);
        last = Some((key, at));
    }
    if let Some((key, at)) = last {
        sleep(STILL);
        broken |= ask(record, &gateways, &runs, &key, "again", at);
    }
    Ok(broken)
}

/// Asks each gateway with a key that was revoked `at`. Returns true if a request ran.
fn ask(
    record: &Record,
    gateways: &[Gateway],
    runs: &Mutex<Vec<Run>>,
    key: &str,
    when: &str,
    at: Instant,
) -> bool {
    let mut broken = false;
    for gateway in gateways {
        let attempt = format!("{key}-{when}-{}", gateway.name);
        let since = at.elapsed().as_millis();
        record.line(format!("{attempt} is sent {since} ms after the acknowledgement"));
        let Ok(mut client) = Client::open(gateway.caller) else {
            record.line(format!("{attempt} cannot connect"));
            continue;
        };
        let (head, patience) = (headers(&attempt, key, 1_000), Duration::from_secs(2));
        let answer = client.ask("GET", "/stock/1", &head, b"", patience);
        record.line(format!("{attempt} is answered {} {}", answer.status, answer.fault));
        if runs.lock().unwrap().iter().any(|run| run.attempt == attempt) {
            record.line(format!("{attempt} RAN with a revoked key"));
            broken = true;
        }
    }
    broken
}


/// Waits until a gateway other than `reader` reads the store's changes, for 2 s at most.
fn wait_for_read(store: &Store, gateways: &[Gateway], reader: usize) {
    let (began, known) = (Instant::now(), store.calls.lock().unwrap().len());
    while began.elapsed() < Duration::from_secs(2) {
        let is_read = |(port, path): &(u16, String)| {
            *port != gateways[reader].store_port && path == "/v1/kv-watch"
        };
        if store.calls.lock().unwrap()[known..].iter().any(is_read) {
            return;
        }
        sleep(Duration::from_millis(1));
    }
}

/// Returns the gateway that has asked the store for changes most often of late.
fn reader(store: &Store, gateways: &[Gateway]) -> usize {
    let calls = store.calls.lock().unwrap();
    let recent = &calls[calls.len().saturating_sub(6)..];
    let count = |gateway: &Gateway| {
        let is_watch = |(port, path): &&(u16, String)| {
            *port == gateway.store_port && path == "/v1/kv-watch"
        };
        recent.iter().filter(is_watch).count()
    };
    (0..gateways.len()).max_by_key(|index| count(&gateways[*index])).unwrap_or(0)
}
