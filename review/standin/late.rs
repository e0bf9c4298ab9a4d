//! A booking on a kept connection arrives late in a graceful stop.

use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::Client;
use crate::store::Store;
use crate::world::{
    Directory, Gateway, Record, Run, Runner, RunnerOptions, Serve, config, headers, loopback_ip,
    route,
};

/// How long after SIGTERM each kept connection sends its booking.
const SENT_AFTER_MS: [u64; 8] = [7_000, 7_200, 7_400, 7_500, 7_520, 7_540, 7_560, 7_580];
/// Work of a booking: the longest that the site files state.
const WORK: Duration = Duration::from_millis(450);
const KEY: &str = "key-1";

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let (ip, directory, store) = (loopback_ip(), Directory::new(), Store::new());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let routes = [
        route("book", "unsafe", "desk", 1, 4_000),
        route("chat", "streaming", "model", 1, 15_000),
    ];
    let document = config(10, &routes, &["desk", "model"], &[KEY.to_owned()]);
    store.put("op/config", document.as_bytes());
    let start = |id: &str, service: &str, serve: Serve| {
        let options = RunnerOptions { id, service, zone: "aarau", serve, poison: None, keeps_id: false };
        Runner::start(&ip, &store, record, &runs, options)
    };
    let desk: Vec<_> = ["d-1", "d-2", "d-3"]
        .map(|id| start(id, "desk", Serve::Plain(Duration::from_millis(15))))
        .into();
    for id in ["m-1", "m-2"] {
        start(id, "model", Serve::Stream(200, Duration::from_millis(45)));
    }
    let mut gateways: Vec<_> = ["front-aarau-1", "front-aarau-2"]
        .map(|name| Gateway::new(&ip, &store, &directory.0, name, "aarau"))
        .into();
    gateways.iter_mut().for_each(Gateway::spawn);
    if !gateways.iter().all(Gateway::wait_ready) {
        return Err("not all gateways are ready".into());
    }
    sleep(Duration::from_secs(4));
    let caller = gateways[0].caller;
    // Each client has used its connection once, and keeps it.
    let mut kept = Vec::new();
    for (number, after) in SENT_AFTER_MS.into_iter().enumerate() {
        let mut client = Client::open(caller).map_err(|err| err.to_string())?;
        let head = headers(&format!("warm-{number}"), KEY, 1_000);
        let answer = client.ask("POST", "/book/1", &head, b"{}", Duration::from_secs(2));
        record.line(format!("warm-{number} is answered {} {}", answer.status, answer.fault));
        if answer.status != 200 {
            return Err("a booking before the stop was not served".into());
        }
        kept.push((client, after));
    }
    desk.iter().for_each(|runner| runner.set_serve(Serve::Plain(WORK)));
    let note = record.clone();
    let stream = thread::spawn(move || {
        let Ok(mut client) = Client::open(caller) else { return };
        let head = headers("chat-1", KEY, 15_000)
            + "X-Briarshift-Model: m\r\nX-Briarshift-Token-Count: 713,600\r\n\
               X-Briarshift-Prompt-Prefix: a1:103,b2:500,c3:110\r\n";
        note.line("chat-1 is sent");
        let answer = client.ask("POST", "/chat/1", &head, b"{}", Duration::from_secs(15));
        note.line(format!("chat-1 ends: {} whole {}", answer.status, answer.whole));
    });
    sleep(Duration::from_millis(500));
    let stopped = Instant::now();
    if trouble {
        record.line("front-aarau-1 gets SIGTERM");
        gateways[0].terminate();
    }
    let clients: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(number, (mut client, after))| {
            let note = record.clone();
            thread::spawn(move || {
                sleep((stopped + Duration::from_millis(after)).duration_since(Instant::now()));
                let attempt = format!("late-{number}");
                let since = stopped.elapsed().as_millis();
                note.line(format!("{attempt} is sent, {since} ms after the SIGTERM"));
                let head = headers(&attempt, KEY, 4_000);
                let patience = Duration::from_secs(5);
                let answer = client.ask("POST", "/book/1", &head, b"{}", patience);
                let since = stopped.elapsed().as_millis();
                note.line(format!(
                    "{attempt} ends {since} ms after the SIGTERM: status {} whole {} {}",
                    answer.status, answer.whole, answer.fault
                ));
                (attempt, answer)
            })
        })
        .collect();
    let mut broken = false;
    for client in clients {
        let Ok((attempt, answer)) = client.join() else { continue };
        let ran = runs.lock().unwrap().iter().any(|run| run.attempt == attempt);
        if ran && !answer.whole {
            record.line(format!(
                "{attempt} was passed on to a runner, and its connection ended without an answer \
                 after {} ms, before its deadline",
                answer.took.as_millis()
            ));
            broken = true;
        }
    }
    let _ = stream.join();
    Ok(broken)
}
