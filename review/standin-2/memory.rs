//! One tenant sends many times its usual, in requests that stay within the operator's limits.
//! The platform ends a process that exceeds the memory of its machine.

mod world;

use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use world::{
    Behaviour, Gateway, Log, Runner, Store, attempt_id, millis, read_from, send, wait_ready,
};

/// `memory-mb` of the machines of the small deployments.
const MEMORY_KB: u64 = 260 * 1024;
/// `max-body-bytes` of the configuration.
const MAX_BODY: usize = 4_194_304;
/// The usual requests of the tenant a second, in the zone with one machine.
const USUAL_PER_S: f64 = 1.5;
/// `hot_tenant`: how many times its usual, and for how long.
const TIMES: f64 = 7.5;
const HOT_FOR: Duration = Duration::from_millis(6_500);
/// Time to the first event of a stream, beside as many others.
const FIRST_AFTER: Duration = Duration::from_millis(700);
/// Events of a stream, and the pause between two.
const EVENTS: u32 = 89;
const GAP: Duration = Duration::from_millis(100);
const ZONES: [&str; 3] = ["aarau", "olten", "langenthal"];
/// The zone of the tenant's clients.
const HOME: usize = 2;

fn head(path: &str, parts: &str, attempt: &str, deadline: u64, length: usize) -> String {
    let prompt = match parts.is_empty() {
        true => String::new(),
        false => format!(
            "X-Briarshift-Model: m\r\nX-Briarshift-Token-Count: 713,267\r\n\
             X-Briarshift-Prompt-Prefix: {parts}\r\n"
        ),
    };
    let method = if parts.is_empty() { "GET" } else { "POST" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: till.example\r\nX-Briarshift-Attempt-Id: {attempt}\r\n\
         {prompt}X-Briarshift-Deadline-Ms: {deadline}\r\nAuthorization: Token k-kiosk\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}

fn config() -> String {
    let route = |name: &str, kind: &str, timeout: u32, aim: u32, service: &str, attempts: u32| {
        let sticky = kind == "streaming";
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"till.example\",\"prefix\":\"/{name}/\",\
             \"route-type\":\"{kind}\",\"timeout-ms\":{timeout},\"target-latency-ms\":{aim},\
             \"priority\":2,\"service\":\"{service}\",\"max-attempts\":{attempts},\
             \"public\":false,\"sticky\":{sticky},\"resumable\":false,\"gap-aim-ms\":250}}"
        )
    };
    let service = |name: &str, connections: u32, engine: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/healthz\",\
             \"max-connections\":{connections},\"protocol\":\"h1\",\"tls\":false{engine}}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{},{}],\"limits\":{{\
         \"max-header-bytes\":16384,\"max-body-bytes\":{MAX_BODY},\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"kiosk\",\
         \"api-keys\":[\"k-kiosk\"],\"priority\":1}}]}}",
        route("chat", "streaming", 15000, 500, "pool", 1),
        route("stock", "safe", 600, 100, "desk", 2),
        service("pool", 610, ",\"engine\":{\"slots\":128,\"kv-capacity-tokens\":259005}"),
        service("desk", 96, ""),
    )
}

/// What became of a request of the tenant.
struct Sent {
    attempt: String,
    /// The connection had answered a request before.
    is_kept: bool,
    status: u16,
    is_whole: bool,
    /// The connection ended, before the client had given up.
    is_closed: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (program, folder, record) = (&arguments[1], &arguments[2], &arguments[3]);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let log = Log::create(record);
    let store = Store::start();
    store.put("op/config", &config());
    let runs: Arc<Mutex<HashSet<String>>> = Arc::default();
    let of_runners = Arc::clone(&runs);
    let behaviour: Behaviour = Arc::new(move |runner, request, stream| {
        let attempt = request.header("x-briarshift-attempt-id").to_owned();
        if request.path.starts_with("/stock") {
            thread::sleep(millis(15));
            return runner.answer(request, stream);
        }
        runner.log.line(&format!(
            "runner {} runs {attempt} body={}",
            runner.id,
            request.body.len()
        ));
        of_runners.lock().unwrap().insert(attempt);
        thread::sleep(FIRST_AFTER);
        runner.stream(request, stream, EVENTS, GAP)
    });
    for number in 0..9 {
        let (id, zone) = (format!("i-{number:04x}"), ZONES[number % 3]);
        Runner::start(&store, &log, &id, "pool", zone, 128, behaviour.clone());
    }
    for number in 0..3 {
        let (id, zone) = (format!("d-{number:04x}"), ZONES[number]);
        Runner::start(&store, &log, &id, "desk", zone, 6, behaviour.clone());
    }
    let new = |zone: &str| Gateway::new(program, folder, &store, &format!("front-{zone}-1"), zone);
    let mut gateways: Vec<_> = ZONES.iter().map(|zone| new(zone)).collect();
    gateways.iter_mut().for_each(Gateway::start);
    if !wait_ready(&gateways) {
        log.line("the gateways did not become ready");
        drop(gateways);
        std::process::exit(2);
    }
    thread::sleep(millis(1500));
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let ready: Vec<_> = gateways.iter().map(|gateway| gateway.ready).collect();

    // The platform: which machines get new connections.
    let in_rotation: Arc<[AtomicBool; 3]> = Arc::new([const { AtomicBool::new(true) }; 3]);
    let ends = Arc::new(AtomicBool::new(false));
    let (rotation, has_ended) = (Arc::clone(&in_rotation), Arc::clone(&ends));
    thread::spawn(move || {
        let mut misses = [0; 3];
        while !has_ended.load(Ordering::SeqCst) {
            for place in 0..3 {
                let ask = b"GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
                let is_ready = send(ready[place], ask, millis(900)).status == 200;
                misses[place] = if is_ready { 0 } else { misses[place] + 1 };
                rotation[place].store(misses[place] < 2, Ordering::SeqCst);
            }
            thread::sleep(millis(1000));
        }
    });
    // The platform: a process that exceeds `memory-mb` is killed, and started again.
    let kills: Arc<Mutex<Vec<(f64, String, u64)>>> = Arc::default();
    let most_kb = Arc::new(AtomicU64::new(0));
    let exits = Arc::new(AtomicUsize::new(0));
    let (killed, has_ended, most, exited) =
        (Arc::clone(&kills), Arc::clone(&ends), Arc::clone(&most_kb), Arc::clone(&exits));
    let watched = log.clone();
    let platform = thread::spawn(move || {
        let mut restart: HashMap<usize, Instant> = HashMap::new();
        while !has_ended.load(Ordering::SeqCst) {
            for (place, gateway) in gateways.iter_mut().enumerate() {
                if let Some(at) = restart.get(&place) {
                    if *at <= Instant::now() {
                        restart.remove(&place);
                        gateway.start();
                    }
                    continue;
                }
                let memory = gateway.memory_kb();
                most.fetch_max(memory, Ordering::SeqCst);
                if gateway.has_ended() {
                    exited.fetch_add(1, Ordering::SeqCst);
                    watched.line(&format!("{} ended by itself", gateway.name));
                    restart.insert(place, Instant::now() + millis(1000));
                } else if MEMORY_KB < memory {
                    watched.line(&format!("{} uses {memory} kB and is killed", gateway.name));
                    killed.lock().unwrap().push((watched.now(), gateway.name.clone(), memory));
                    gateway.kill();
                    restart.insert(place, Instant::now() + millis(1000));
                }
            }
            thread::sleep(millis(10));
        }
    });

    // The tenant's clients: each asks for the stock, and on the same connection for a chat with
    // a document.
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let body: Arc<Vec<u8>> = Arc::new(vec![b'x'; MAX_BODY]);
    let client = {
        let (log, sent, rotation) = (log.clone(), Arc::clone(&sent), Arc::clone(&in_rotation));
        let addresses = addresses.clone();
        move |number: usize| {
            let home = [HOME, 0, 1].into_iter().find(|it| rotation[*it].load(Ordering::SeqCst));
            let place = home.unwrap_or(HOME);
            let Ok(mut stream) = TcpStream::connect_timeout(&addresses[place], millis(1000)) else {
                return log.line("a client gets no connection");
            };
            let _ = stream.set_nodelay(true);
            let first = head("/stock/x", "", &attempt_id(), 600, 0);
            let started_at = Instant::now();
            let mut answer = world::Answer::default();
            if stream.write_all(first.as_bytes()).is_ok() {
                let copy = stream.try_clone().expect("a descriptor");
                read_from(copy, started_at + millis(700), started_at, &mut answer);
            }
            let is_kept = answer.status == 200
                && answer.is_whole
                && !answer.header("connection").eq_ignore_ascii_case("close");
            if !is_kept {
                return log.line(&format!("stock answered {}", answer.status));
            }
            let attempt = attempt_id();
            log.line(&format!("chat {attempt} sent to {} body={}", ZONES[place], body.len()));
            let parts = format!("a{:x}:103,d{:x}:500,f{number:x}:110", number % 4, number % 9);
            let first = head("/chat/x", &parts, &attempt, 15000, body.len());
            let started_at = Instant::now();
            let mut answer = world::Answer::default();
            let deadline = started_at + Duration::from_secs(15);
            if stream.write_all(first.as_bytes()).and_then(|()| stream.write_all(&body)).is_ok() {
                read_from(stream, deadline, started_at, &mut answer);
            }
            let is_closed = !answer.is_whole && Instant::now() < deadline;
            log.line(&format!(
                "chat {attempt} answered {} whole={} after {} ms",
                answer.status,
                answer.is_whole,
                started_at.elapsed().as_millis()
            ));
            let (status, is_whole) = (answer.status, answer.is_whole);
            sent.lock().unwrap().push(Sent { attempt, is_kept, status, is_whole, is_closed });
        }
    };
    let client = Arc::new(client);
    let started_at = Instant::now();
    let (hot_from, end) = (Duration::from_secs(14), Duration::from_secs(34));
    let mut clients = Vec::new();
    let mut number = 0;
    while started_at.elapsed() < end {
        let now = started_at.elapsed();
        let is_hot = has_trouble && hot_from <= now && now < hot_from + HOT_FOR;
        let client = Arc::clone(&client);
        clients.push(thread::spawn(move || client(number)));
        number += 1;
        let per_s = if is_hot { USUAL_PER_S * TIMES } else { USUAL_PER_S };
        thread::sleep(Duration::from_secs_f64(1.0 / per_s));
    }
    for client in clients {
        let _ = client.join();
    }
    ends.store(true, Ordering::SeqCst);
    let _ = platform.join();
    let (sent, runs, kills) = (sent.lock().unwrap(), runs.lock().unwrap(), kills.lock().unwrap());
    let unanswered =
        |it: &&Sent| it.is_kept && it.is_closed && it.status == 0 && runs.contains(&it.attempt);
    let cut = sent.iter().filter(|it| it.status == 200 && !it.is_whole && it.is_closed).count();
    let lost = sent.iter().filter(unanswered).count();
    let served = sent.iter().filter(|it| it.status == 200 && it.is_whole).count();
    let ended = kills.len() + exits.load(Ordering::SeqCst);
    let is_broken = 3 < lost;
    let summary = format!(
        "chats {}, served whole {served}; processes killed over {MEMORY_KB} kB or ended: {ended}; \
         most memory {} kB; passed on from a kept connection that then closed without an answer: \
         {lost}; streams cut midway: {cut}; {}",
        sent.len(),
        most_kb.load(Ordering::SeqCst),
        if is_broken { "broken" } else { "held" }
    );
    log.line(&summary);
    println!("{summary}");
    std::process::exit(i32::from(is_broken));
}
