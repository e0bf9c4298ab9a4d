//! Clients leave their connections idle for longer than the operator's `idle-timeout-ms`. Some
//! machines are lost, and the others get their clients.

mod world;

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use world::{
    Answer, Behaviour, Gateway, Log, Runner, Store, attempt_id, millis, read_from, send, wait_ready,
};

/// `max-fds` of the machines is 4,200, of which 200 are reserved for files: the others, and some
/// for the files that the program has open.
const MAX_FDS: u32 = 4_010;
/// Zones, their machines, how many of these are lost, and the requests that their clients send a
/// second.
const ZONES: [(&str, usize, usize, f64); 3] =
    [("aarau", 3, 2, 33.4), ("olten", 2, 1, 40.1), ("langenthal", 1, 1, 42.8)];
/// The part of the requests that are contract reviews; the others are bookings.
const REVIEWS: f64 = 28.0 / 116.3;
/// When four of the six machines are lost.
const LOST_AT: Duration = Duration::from_secs(2);
const END: Duration = Duration::from_secs(88);
/// Reviews: `timeout-ms` of the route, and how long clients wait for a first event (four times
/// the objective of a second).
const TIMEOUT: Duration = Duration::from_millis(3_000);
const PATIENCE: Duration = Duration::from_millis(4_000);
/// Bookings: how long clients wait.
const BOOKING_DEADLINE: Duration = Duration::from_millis(600);

fn config() -> String {
    let route = |name: &str, kind: &str, timeout: u32, aim: u32, service: &str| {
        let sticky = kind == "streaming";
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"till.example\",\"prefix\":\"/{name}/\",\
             \"route-type\":\"{kind}\",\"timeout-ms\":{timeout},\"target-latency-ms\":{aim},\
             \"priority\":1,\"service\":\"{service}\",\"max-attempts\":1,\"public\":false,\
             \"sticky\":{sticky},\"resumable\":false,\"gap-aim-ms\":250}}"
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
         \"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"shops\",\
         \"api-keys\":[\"k-shops\"],\"priority\":1}}]}}",
        route("review", "streaming", TIMEOUT.as_millis() as u32, 1000, "pool"),
        route("order", "unsafe", 600, 100, "desk"),
        service("pool", 610, ",\"engine\":{\"slots\":128,\"kv-capacity-tokens\":259005}"),
        service("desk", 96, ""),
    )
}

/// What a client saw of its request.
struct Sent {
    attempt: String,
    at: Duration,
    status: u16,
    after: Duration,
    is_review: bool,
    /// It was sent to a machine that is never disturbed.
    is_in_touch: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (program, folder, record) = (&arguments[1], &arguments[2], &arguments[3]);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let log = Log::create(record);
    // The clients need more descriptors than one machine has.
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let limit = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    let limit = limit.and_then(|line| line.split_whitespace().next());
    if limit.and_then(|text| text.parse().ok()).is_some_and(|limit: u32| limit < 3 * MAX_FDS) {
        log.line("too few descriptors for the clients");
        std::process::exit(2);
    }
    let store = Store::start();
    store.put("op/config", &config());
    let started_at = Instant::now();
    let runs: Arc<Mutex<HashMap<String, Duration>>> = Arc::default();
    let of_runners = Arc::clone(&runs);
    let behaviour: Behaviour = Arc::new(move |runner, request, stream| {
        let attempt = request.header("x-briarshift-attempt-id").to_owned();
        runner.log.line(&format!("runner {} runs {attempt}", runner.id));
        of_runners.lock().unwrap().insert(attempt, started_at.elapsed());
        if request.path.starts_with("/review") {
            thread::sleep(millis(200));
            return runner.stream(request, stream, 17, millis(20));
        }
        thread::sleep(millis(15));
        runner.answer(request, stream)
    });
    for number in 0..9 {
        let (id, zone) = (format!("i-{number:04x}"), ZONES[number % 3].0);
        Runner::start(&store, &log, &id, "pool", zone, 128, behaviour.clone());
    }
    for (number, (zone, ..)) in ZONES.iter().enumerate() {
        Runner::start(&store, &log, &format!("d-{number:04x}"), "desk", zone, 6, behaviour.clone());
    }
    let mut gateways = Vec::new();
    // The zone of each machine, and whether it is one of those that are lost.
    let mut places = Vec::new();
    for (place, (zone, machines, lost, _)) in ZONES.iter().enumerate() {
        for number in 0..*machines {
            let name = format!("front-{zone}-{}", number + 1);
            let gateway = Gateway::new(program, folder, &store, &name, zone);
            gateways.push(gateway.with_fds(MAX_FDS));
            places.push((place, machines - lost <= number));
        }
    }
    gateways.iter_mut().for_each(Gateway::start);
    if !wait_ready(&gateways) {
        log.line("the gateways did not become ready");
        drop(gateways);
        std::process::exit(2);
    }
    thread::sleep(millis(1500));
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let gateways = Arc::new(Mutex::new(gateways));
    let most = Arc::new(AtomicUsize::new(0));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    // Answered connections, which the clients leave open until the server closes them.
    let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let ends = Arc::new(AtomicBool::new(false));
    let begun_at = Instant::now();
    // The platform asks each machine each second, and takes it out of rotation after two misses.
    let in_rotation: Arc<Vec<AtomicBool>> =
        Arc::new(places.iter().map(|_| AtomicBool::new(true)).collect());
    let mut watch = Vec::new();
    for (place, gateway) in gateways.lock().unwrap().iter().enumerate() {
        let (log, ends, most) = (log.clone(), Arc::clone(&ends), Arc::clone(&most));
        let rotation = Arc::clone(&in_rotation);
        let (name, ready, pid) = (gateway.name.clone(), gateway.ready, gateway.pid());
        let is_lost = places[place].1;
        watch.push(thread::spawn(move || {
            let (mut misses, mut next) = (0, Instant::now());
            while !ends.load(Ordering::SeqCst) {
                let descriptors =
                    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
                if !is_lost {
                    most.fetch_max(descriptors, Ordering::SeqCst);
                }
                let ask = b"GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
                let status = send(ready, ask, millis(900)).status;
                misses = if status == 200 { 0 } else { misses + 1 };
                rotation[place].store(misses < 2, Ordering::SeqCst);
                log.line(&format!("{name}: descriptors {descriptors}, readyz {status}"));
                next += millis(1000);
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        }));
    }
    // The clients close what the server has closed.
    let (left, ends_too) = (Arc::clone(&open), Arc::clone(&ends));
    thread::spawn(move || {
        while !ends_too.load(Ordering::SeqCst) {
            left.lock().unwrap().retain(|stream| match stream.peek(&mut [0]) {
                Ok(read) => 0 < read,
                Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
            });
            thread::sleep(millis(500));
        }
    });
    let per_s: f64 = ZONES.iter().map(|(.., per_s)| per_s).sum();
    let (mut number, mut is_lost) = (0_u32, false);
    while begun_at.elapsed() < END {
        if has_trouble && !is_lost && LOST_AT <= begun_at.elapsed() {
            log.line("four of the six machines are lost, those of one zone among them");
            let mut gateways = gateways.lock().unwrap();
            let lost = gateways.iter_mut().zip(&places).filter(|(_, (_, is_lost))| *is_lost);
            lost.for_each(|(gateway, _)| gateway.kill());
            is_lost = true;
        }
        // The client's zone by its rate, then one of the machines in rotation there, else of the
        // nearest zones, which are equally near.
        let draw = |factor: f64| (f64::from(number) * factor).fract();
        let mut left = draw(0.618_034) * per_s;
        let home = ZONES.iter().position(|(.., per_s)| {
            left -= per_s;
            left < 0.0
        });
        let home = home.unwrap_or(0);
        let is_in = |place: &usize| in_rotation[*place].load(Ordering::SeqCst);
        let all: Vec<_> = (0..places.len()).filter(|place| places[*place].0 == home).collect();
        let here: Vec<_> = all.iter().copied().filter(is_in).collect();
        let elsewhere: Vec<_> = (0..places.len()).filter(is_in).collect();
        let open_places = match here.len() {
            // None of the zone's machines: those of the nearest zones.
            0 if !elsewhere.is_empty() => elsewhere,
            // Fewer than half of them: all of them.
            count if count * 2 < all.len() => all,
            _ => here,
        };
        let place = open_places[(draw(0.754_878) * open_places.len() as f64) as usize];
        let is_review = draw(0.569_840) < REVIEWS;
        let is_in_touch = !places[place].1;
        let (to, log, sent, kept) =
            (addresses[place], log.clone(), Arc::clone(&sent), Arc::clone(&open));
        let part = number;
        thread::spawn(move || {
            let attempt = attempt_id();
            let (at, asked_at) = (started_at.elapsed(), Instant::now());
            let (kind, path, patience) = match is_review {
                true => ("review", "/review/x", PATIENCE),
                false => ("booking", "/order/x", BOOKING_DEADLINE),
            };
            log.line(&format!("{attempt} sent to front {place}: {kind}"));
            let prompt = match is_review {
                true => format!(
                    "X-Briarshift-Model: m\r\nX-Briarshift-Token-Count: 9200,60\r\n\
                     X-Briarshift-Prompt-Prefix: a1:2520,d{:x}:6100,c{part:x}:580\r\n\
                     X-Briarshift-Deadline-Ms: 6000\r\n",
                    part % 31
                ),
                false => "X-Briarshift-Deadline-Ms: 600\r\n".to_owned(),
            };
            let text = format!(
                "POST {path} HTTP/1.1\r\nHost: till.example\r\n\
                 X-Briarshift-Attempt-Id: {attempt}\r\n{prompt}\
                 Authorization: Token k-shops\r\nContent-Length: 2\r\n\r\nhi"
            );
            let mut answer = Answer::default();
            let stream = TcpStream::connect_timeout(&to, millis(1000).min(patience));
            let has_connection = stream.is_ok();
            if let Ok(mut stream) = stream
                && stream.write_all(text.as_bytes()).is_ok()
            {
                let copy = stream.try_clone().expect("a descriptor");
                read_from(copy, asked_at + patience, asked_at, &mut answer);
                let _ = stream.set_nonblocking(true);
                if answer.is_whole {
                    kept.lock().unwrap().push(stream);
                }
            }
            let after = match answer.status {
                0 => asked_at.elapsed(),
                _ => answer.head_after,
            };
            log.line(&format!(
                "{attempt} {} after {} ms",
                match (has_connection, answer.status) {
                    (false, _) => "got no connection".to_owned(),
                    (true, 0) => "got no answer".to_owned(),
                    (true, status) => format!("answered {status}"),
                },
                after.as_millis()
            ));
            let status = answer.status;
            sent.lock().unwrap().push(Sent { attempt, at, status, after, is_review, is_in_touch });
        });
        number += 1;
        let next = begun_at + Duration::from_secs_f64(f64::from(number) / per_s);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    // The last clients end by their deadline.
    thread::sleep(PATIENCE + millis(1000));
    ends.store(true, Ordering::SeqCst);
    for watch in watch {
        let _ = watch.join();
    }
    gateways.lock().unwrap().clear();
    let (sent, runs) = (sent.lock().unwrap(), runs.lock().unwrap());
    let in_touch: Vec<_> = sent.iter().filter(|it| it.is_in_touch).collect();
    let mut by_second: BTreeMap<u64, (u32, u32)> = BTreeMap::new();
    for it in &in_touch {
        let second = by_second.entry((it.at.as_secs()).saturating_sub(0)).or_default();
        second.0 += 1;
        second.1 += u32::from(it.status != 0);
    }
    let silent: Vec<_> =
        by_second.iter().filter(|(_, (asked, got))| 7 <= *asked && *got == 0).collect();
    // Unanswered at the route's timeout, and half a second later.
    let reviews = || in_touch.iter().filter(|it| it.is_review);
    let late = reviews().filter(|it| TIMEOUT <= it.after).count();
    let half_second = TIMEOUT + millis(500);
    let unanswered = reviews().filter(|it| half_second <= it.after).count();
    let gone = |it: &&&Sent| {
        let left_at = it.at + it.after;
        it.status == 0 && runs.get(&it.attempt).is_some_and(|at| left_at + millis(500) < *at)
    };
    let gone = in_touch.iter().filter(gone).count();
    let text: Vec<_> =
        by_second.iter().map(|(at, (asked, got))| format!("{at}s:{got}/{asked}")).collect();
    log.line(&format!("answered of sent, by second: {}", text.join(" ")));
    let is_broken = 10 <= unanswered && late < unanswered * 2;
    let summary = format!(
        "requests to machines in touch {}, reviews among them {}; reviews unanswered at timeout-ms {late}, \
         of them without an \
         answer half a second later {unanswered}; whole seconds without any answer {}; run over \
         half a second after the client had left {gone}; most descriptors {}; {}",
        in_touch.len(),
        reviews().count(),
        silent.len(),
        most.load(Ordering::SeqCst),
        if is_broken { "broken" } else { "held" }
    );
    log.line(&summary);
    println!("{summary}");
    std::process::exit(i32::from(is_broken));
}
