//! A new version of the configuration takes a key away and adds a tenant whose name has spaces.

mod world;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use world::{Behaviour, Gateway, Log, Runner, Store, attempt_id, millis, send, wait_ready};

/// `revoke-ms` of the small deployments.
const REVOKE: Duration = Duration::from_secs(5);
const ZONES: [&str; 3] = ["aarau", "olten", "langenthal"];
const CHANGE_AT: Duration = Duration::from_secs(6);
const END: Duration = Duration::from_secs(30);

fn config(version: u32, bakery_keys: &str, added: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-order\",\"host\":\"till.example\",\
         \"prefix\":\"/order/\",\"route-type\":\"unsafe\",\"timeout-ms\":600,\
         \"target-latency-ms\":100,\"priority\":2,\"service\":\"desk\",\"max-attempts\":1,\
         \"public\":false,\"sticky\":false,\"resumable\":false,\"gap-aim-ms\":250}}],\
         \"services\":[{{\"name\":\"desk\",\"health-path\":\"/healthz\",\"max-connections\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"bakery\",\"api-keys\":[{bakery_keys}],\"priority\":1}}{added}]}}"
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (program, folder, record) = (&arguments[1], &arguments[2], &arguments[3]);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let log = Log::create(record);
    let store = Store::start();
    store.put("op/config", &config(7, "\"k-old\",\"k-kept\"", ""));
    let runs: Arc<Mutex<HashMap<String, Duration>>> = Arc::default();
    let of_runners = Arc::clone(&runs);
    let started_at = Instant::now();
    let behaviour: Behaviour = Arc::new(move |runner, request, stream| {
        let attempt = request.header("x-briarshift-attempt-id").to_owned();
        let tenant = request.header("x-briarshift-tenant");
        runner.log.line(&format!("runner {} runs {attempt} of tenant {tenant:?}", runner.id));
        of_runners.lock().unwrap().insert(attempt, started_at.elapsed());
        thread::sleep(millis(15));
        runner.answer(request, stream)
    });
    for (number, zone) in ZONES.iter().enumerate() {
        Runner::start(&store, &log, &format!("d-{number:04x}"), "desk", zone, 6, behaviour.clone());
    }
    let new = |zone: &str| Gateway::new(program, folder, &store, &format!("front-{zone}-1"), zone);
    let mut gateways: Vec<_> = ZONES.iter().map(|zone| new(zone)).collect();
    gateways.iter_mut().for_each(Gateway::start);
    if !wait_ready(&gateways) {
        log.line("the gateways did not become ready");
        drop(gateways);
        std::process::exit(2);
    }
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    // (attempt, key, sent at, status)
    let sent: Arc<Mutex<Vec<(String, &str, Duration, u16)>>> = Arc::default();
    let (begun_at, mut acknowledged_at, mut number) = (Instant::now(), None, 0);
    let mut clients = Vec::new();
    while begun_at.elapsed() < END {
        if acknowledged_at.is_none() && CHANGE_AT <= begun_at.elapsed() {
            let name = if has_trouble { "Kiosk am See" } else { "kiosk-am-see" };
            let added = format!(",{{\"name\":\"{name}\",\"api-keys\":[\"k-new\"],\"priority\":1}}");
            store.put("op/config", &config(9, "\"k-kept\"", &added));
            acknowledged_at = Some(started_at.elapsed());
            log.line(&format!(
                "the store acknowledges version 9: k-old is taken away, tenant {name:?} is added"
            ));
        }
        let (to, key) = (addresses[number % 3], ["k-old", "k-kept", "k-new"][number / 3 % 3]);
        let (log, sent) = (log.clone(), Arc::clone(&sent));
        clients.push(thread::spawn(move || {
            let (attempt, at) = (attempt_id(), started_at.elapsed());
            log.line(&format!("{attempt} sent with {key}"));
            let text = format!(
                "POST /order/x HTTP/1.1\r\nHost: till.example\r\n\
                 X-Briarshift-Attempt-Id: {attempt}\r\nX-Briarshift-Deadline-Ms: 600\r\n\
                 Authorization: Token {key}\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
            );
            let answer = send(to, text.as_bytes(), millis(900));
            log.line(&format!("{attempt} answered {}", answer.status));
            sent.lock().unwrap().push((attempt, key, at, answer.status));
        }));
        number += 1;
        thread::sleep(millis(30));
    }
    for client in clients {
        let _ = client.join();
    }
    let ready = gateways.iter().filter(|gateway| gateway.is_ready()).count();
    drop(gateways);
    let (sent, runs) = (sent.lock().unwrap(), runs.lock().unwrap());
    let from = acknowledged_at.unwrap_or_default() + REVOKE;
    let late: Vec<_> = sent.iter().filter(|(_, _, at, _)| from < *at).collect();
    let of = |wanted: &str| late.iter().filter(|(_, key, _, _)| *key == wanted).count();
    let ran =
        late.iter().filter(|(it, key, _, _)| *key == "k-old" && runs.contains_key(it)).count();
    let denied =
        late.iter().filter(|(_, key, _, status)| *key == "k-new" && *status == 401).count();
    let kept = late.iter().filter(|(_, key, _, status)| *key == "k-kept" && *status == 200).count();
    let summary = format!(
        "later than revoke-ms after the acknowledgement: {ran} of {} requests with the key that was \
         taken away ran, {denied} of {} with the new key were refused with 401, {kept} of {} with \
         the kept key were served; {ready} of 3 machines say that they are ready; {}",
        of("k-old"),
        of("k-new"),
        of("k-kept"),
        if 0 < ran { "broken" } else { "held" }
    );
    log.line(&summary);
    println!("{summary}");
    std::process::exit(if of("k-old") < 20 { 2 } else { i32::from(0 < ran) });
}
