//! A part of a prompt crashes the engines that begin to answer it; sound requests of the same
//! caller share the other part of those prompts.

mod world;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use world::{Answer, Behaviour, Gateway, Log, Runner, Store, attempt_id, millis, send, wait_ready};

/// `stable-window-ms` of the small deployments.
const STABLE: Duration = Duration::from_secs(3);
/// Parts of prompts: instructions that crash engines, sound instructions, the caller's document.
const CRASHING: &str = "bad0001";
const SOUND: &str = "a0001";
const DOCUMENT: &str = "d0c";
const SOUND_EVERY: Duration = Duration::from_millis(1_800);
const CRASHING_EVERY: Duration = Duration::from_millis(250);
const OTHERS_EVERY: Duration = Duration::from_millis(150);
const BEFORE: u32 = 22;
const AFTER: Duration = Duration::from_secs(50);

struct Fleet {
    store: Arc<Store>,
    log: Log,
    behaviour: Mutex<Option<Behaviour>>,
    crashes: Mutex<Vec<Instant>>,
    /// Attempts that an engine began to answer.
    begun: Mutex<std::collections::HashSet<String>>,
    starts: std::sync::atomic::AtomicU64,
}

impl Fleet {
    fn start_engine(&self, zone: &str) {
        let number = self.starts.fetch_add(1, Ordering::SeqCst);
        let behaviour = self.behaviour.lock().unwrap().clone().expect("set before");
        let id = format!("i-{number:04x}");
        Runner::start(&self.store, &self.log, &id, "pool", zone, 96, behaviour);
    }
}

fn request(key: &str, parts: &str, attempt: &str) -> Vec<u8> {
    let body = format!("{{\"prompt\":\"{attempt}\"}}");
    format!(
        "POST /chat/x HTTP/1.1\r\nHost: rota.example\r\nX-Briarshift-Attempt-Id: {attempt}\r\n\
         X-Briarshift-Model: m\r\nX-Briarshift-Token-Count: 1300,60\r\n\
         X-Briarshift-Prompt-Prefix: {parts}\r\nX-Briarshift-Deadline-Ms: 4000\r\n\
         Authorization: Token {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn config() -> String {
    let route = "{\"name\":\"r-chat\",\"host\":\"rota.example\",\"prefix\":\"/chat/\",\
        \"route-type\":\"streaming\",\"timeout-ms\":4000,\"target-latency-ms\":600,\"priority\":1,\
        \"service\":\"pool\",\"max-attempts\":1,\"public\":false,\"sticky\":true,\
        \"resumable\":false,\"gap-aim-ms\":250}";
    let service = "{\"name\":\"pool\",\"health-path\":\"/healthz\",\"max-connections\":480,\
        \"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":96,\"kv-capacity-tokens\":245712}}";
    format!(
        "{{\"version\":7,\"routes\":[{route}],\"services\":[{service}],\"limits\":{{\
         \"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"parish\",\"api-keys\":[\"k-parish\"],\
         \"priority\":1}},{{\"name\":\"others\",\"api-keys\":[\"k-others\"],\"priority\":1}}]}}"
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (program, folder, record) = (&arguments[1], &arguments[2], &arguments[3]);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let log = Log::create(record);
    let store = Store::start();
    store.put("op/config", &config());
    let fleet = Arc::new(Fleet {
        store: Arc::clone(&store),
        log: log.clone(),
        behaviour: Mutex::new(None),
        crashes: Mutex::default(),
        begun: Mutex::default(),
        starts: 0.into(),
    });
    let of_fleet = Arc::clone(&fleet);
    let behaviour: Behaviour = Arc::new(move |runner, request, stream| {
        let attempt = request.header("x-briarshift-attempt-id").to_owned();
        let is_crashing = request.header("x-briarshift-prompt-prefix").contains(CRASHING);
        thread::sleep(millis(80));
        if !runner.is_up.load(Ordering::SeqCst) {
            return false;
        }
        if is_crashing && has_trouble {
            runner.log.line(&format!("engine {} crashes under {attempt}", runner.id));
            of_fleet.crashes.lock().unwrap().push(Instant::now());
            let (fleet, zone) = (Arc::clone(&of_fleet), runner.zone.clone());
            runner.crash();
            thread::spawn(move || {
                thread::sleep(millis(3000));
                fleet.start_engine(&zone);
            });
            return false;
        }
        runner.log.line(&format!("engine {} answers {attempt}", runner.id));
        of_fleet.begun.lock().unwrap().insert(attempt);
        runner.stream(request, stream, 6, millis(40))
    });
    *fleet.behaviour.lock().unwrap() = Some(behaviour);
    let zones = ["nairobi-a", "nairobi-b", "thika-c"];
    for number in 0..9 {
        fleet.start_engine(zones[number % 3]);
    }
    let gateways = (0..6).map(|number| {
        let zone = zones[number % 3];
        Gateway::new(program, folder, &store, &format!("front-{zone}-{}", number / 3 + 1), zone)
    });
    let mut gateways: Vec<_> = gateways.collect();
    gateways.iter_mut().for_each(Gateway::start);
    if !wait_ready(&gateways) {
        log.line("the gateways did not become ready");
        drop(gateways);
        std::process::exit(2);
    }
    thread::sleep(millis(5000));
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let ends = Arc::new(AtomicBool::new(false));
    let ask = {
        let (log, addresses) = (log.clone(), addresses.clone());
        Arc::new(move |kind: &str, key: &str, parts: &str, at: usize| -> (String, Answer) {
            let attempt = attempt_id();
            let to = at % addresses.len();
            log.line(&format!("{kind} {attempt} sent to front {to} key={key} parts={parts}"));
            let answer = send(addresses[to], &request(key, parts, &attempt), millis(4500));
            let text = String::from_utf8_lossy(&answer.body).replace('\n', " ");
            log.line(&format!(
                "{kind} {attempt} answered {} whole={} {}",
                answer.status,
                answer.is_whole,
                if answer.status == 200 { "" } else { &text }
            ));
            (attempt, answer)
        })
    };
    // Other callers, with other instructions and documents.
    let others = {
        let (ask, ends) = (Arc::clone(&ask), Arc::clone(&ends));
        thread::spawn(move || {
            for number in 0.. {
                if ends.load(Ordering::SeqCst) {
                    return;
                }
                let ask = Arc::clone(&ask);
                thread::spawn(move || {
                    let parts =
                        format!("b{:x}:340,e{:x}:900,f{number:x}:110", number % 4, number % 23);
                    ask("other", "k-others", &parts, number * 7 + 3);
                });
                thread::sleep(OTHERS_EVERY);
            }
        })
    };
    // The caller's sound requests.
    let sound: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let send_sound = {
        let (ask, sound) = (Arc::clone(&ask), Arc::clone(&sound));
        move |number: usize| {
            let (ask, sound) = (Arc::clone(&ask), Arc::clone(&sound));
            thread::spawn(move || {
                let parts = format!("{SOUND}:340,{DOCUMENT}:900,5{number:x}:110");
                let at = Instant::now();
                let (attempt, _) = ask("sound", "k-parish", &parts, number * 5 + 1);
                sound.lock().unwrap().push((at, attempt));
            });
        }
    };
    for number in 0..BEFORE as usize {
        send_sound(number);
        thread::sleep(SOUND_EVERY);
    }
    // From here on, requests with the other instructions come too.
    send_sound(BEFORE as usize);
    thread::sleep(millis(250));
    let trouble_at = Instant::now();
    let (mut next_sound, mut number) = (trouble_at + SOUND_EVERY - millis(250), 0_usize);
    let mut last_sent_at = trouble_at;
    while trouble_at.elapsed() < AFTER {
        let ask = Arc::clone(&ask);
        let parts = format!("{CRASHING}:340,{DOCUMENT}:900,c{number:x}:110");
        thread::spawn(move || ask("crashing", "k-parish", &parts, number));
        last_sent_at = Instant::now();
        number += 1;
        if next_sound <= Instant::now() {
            send_sound(BEFORE as usize + 1 + number);
            next_sound += SOUND_EVERY;
        }
        thread::sleep(CRASHING_EVERY);
    }
    thread::sleep(millis(4600));
    ends.store(true, Ordering::SeqCst);
    let _ = others.join();
    thread::sleep(millis(300));

    let crashes = fleet.crashes.lock().unwrap().clone();
    let from = match crashes.get(4).or(crashes.last()) {
        Some(crash) => *crash + STABLE * 2,
        None => trouble_at + STABLE * 2,
    };
    let begun = fleet.begun.lock().unwrap();
    let share = |from: Instant, to: Instant| {
        let sound = sound.lock().unwrap();
        let sent: Vec<_> = sound.iter().filter(|(at, _)| from <= *at && *at < to).collect();
        (sent.iter().filter(|(_, attempt)| begun.contains(attempt)).count(), sent.len())
    };
    let before = share(trouble_at - SOUND_EVERY * (BEFORE + 2), trouble_at);
    let after = share(from, last_sent_at);
    let ratio = |(begun, sent): (usize, usize)| begun as f64 / sent.max(1) as f64;
    let is_broken = 20 <= before.1 && 20 <= after.1 && ratio(after) < ratio(before) / 2.0;
    log.line(&format!(
        "crashes {}; sound requests that began: before {} of {}, from 6 s after the {} crash on \
         while crashing requests come {} of {}; LOST {}",
        crashes.len(),
        before.0,
        before.1,
        if 5 <= crashes.len() { "fifth" } else { "last" },
        after.0,
        after.1,
        if is_broken { "broken" } else { "held" }
    ));
    println!("crashes {} before {before:?} after {after:?} broken {is_broken}", crashes.len());
    let is_fair = 20 <= before.1 && 20 <= after.1;
    drop(gateways);
    std::process::exit(if !is_fair { 2 } else { i32::from(is_broken) });
}
