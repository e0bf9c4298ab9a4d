//! A request crashes each runner that begins it.
//!
//! `killed`: all machines are killed in the middle of the day.
//! `same_id`: the runners start again under the ids that they had.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::Outcome;
use crate::http::Client;
use crate::store::Store;
use crate::world::{
    Directory, Gateway, Record, Run, Runner, RunnerOptions, Serve, config, headers, loopback_ip,
    route,
};

const STABLE_WINDOW_MS: u64 = 3_000;
const KEY: &str = "key-1";
/// How long a crashed runner is away.
const DOWN: Duration = Duration::from_millis(2_000);
/// Work of a booking.
const WORK: Duration = Duration::from_millis(60);
/// Time between two arrivals of the request.
const PAUSE: Duration = Duration::from_millis(4_500);
/// Retries that may still reach runners.
const ALLOWED: usize = 3;

struct Fleet<'a> {
    record: &'a Record,
    gateways: Vec<Gateway>,
    runs: Arc<Mutex<Vec<Run>>>,
    number: usize,
    /// Sound bookings that a runner began and that were not answered with success.
    lost: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    /// When all machines were killed or started again.
    touched_at: Vec<u64>,
    _directory: Directory,
}

impl<'a> Fleet<'a> {
    fn start(record: &'a Record, runners: &[&str], keeps_id: bool) -> Result<Self, String> {
        let (ip, directory, store) = (loopback_ip(), Directory::new(), Store::new());
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let routes = [route("book", "unsafe", "desk", 1, 1_000)];
        let document = config(10, &routes, &["desk"], &[KEY.to_owned()]);
        store.put("op/config", document.as_bytes());
        for &id in runners {
            let serve = Serve::Plain(WORK);
            let poison = Some(("poison".to_owned(), DOWN));
            let options =
                RunnerOptions { id, service: "desk", zone: "aarau", serve, poison, keeps_id };
            Runner::start(&ip, &store, record, &runs, options);
        }
        let mut gateways: Vec<_> = ["front-aarau-1", "front-aarau-2"]
            .map(|name| Gateway::new(&ip, &store, &directory.0, name, "aarau"))
            .into();
        gateways.iter_mut().for_each(Gateway::spawn);
        let fleet = Self {
            record,
            gateways,
            runs,
            number: 0,
            lost: Arc::default(),
            ended: Arc::default(),
            touched_at: Vec::new(),
            _directory: directory,
        };
        fleet.wait_ready()?;
        for (index, gateway) in fleet.gateways.iter().enumerate() {
            fleet.book(index, gateway.caller);
        }
        sleep(Duration::from_millis(STABLE_WINDOW_MS + 1_000));
        Ok(fleet)
    }

    /// Sends sound bookings, one after the other, each on a connection of its own.
    fn book(&self, index: usize, caller: SocketAddr) {
        let (ended, lost) = (Arc::clone(&self.ended), Arc::clone(&self.lost));
        let (record, runs) = (self.record.clone(), Arc::clone(&self.runs));
        thread::spawn(move || {
            for number in 0.. {
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                sleep(Duration::from_millis(20));
                let Ok(mut client) = Client::open(caller) else { continue };
                let attempt = format!("sound-{index}-{number}");
                let (head, patience) = (headers(&attempt, KEY, 1_000), Duration::from_secs(2));
                let body = format!("{{\"roll\":{number}}}");
                let answer =
                    client.ask("POST", "/book/sound", &head, body.as_bytes(), patience);
                let ran = runs.lock().unwrap().iter().any(|run| run.attempt == attempt);
                if ran && answer.status != 200 && answer.status != 0 {
                    record.line(format!("{attempt} was begun and is LOST: {}", answer.status));
                    lost.fetch_add(1, Ordering::SeqCst);
                }
            }
        });
    }

    fn wait_ready(&self) -> Result<(), String> {
        match self.gateways.iter().all(Gateway::wait_ready) {
            true => Ok(()),
            false => Err("not all gateways are ready".into()),
        }
    }

    /// The request comes at both machines in turn, with the same path, caller and body.
    fn arrive_in_turn(&mut self, times: usize) {
        for _ in 0..times {
            self.number += 1;
            send(self.record, &self.gateways[self.number % 2], self.number);
            sleep(PAUSE);
        }
    }

    /// The request comes at both machines at once.
    fn arrive_at_both(&mut self, times: usize) {
        for _ in 0..times {
            let first = self.number;
            thread::scope(|scope| {
                for (index, gateway) in self.gateways.iter().enumerate() {
                    let record = self.record;
                    scope.spawn(move || send(record, gateway, first + index + 1));
                }
            });
            self.number += self.gateways.len();
            sleep(PAUSE);
        }
    }

    fn kill_all(&mut self) -> Result<(), String> {
        self.record.line("all machines are killed");
        self.touched_at.push(self.record.ms());
        self.gateways.iter_mut().for_each(Gateway::kill);
        sleep(Duration::from_millis(500));
        self.gateways.iter_mut().for_each(Gateway::spawn);
        self.wait_ready()?;
        self.touched_at.push(self.record.ms());
        Ok(())
    }

    /// Judges the rule: runs later than the stable window after the third crash, of
    /// requests that machines in touch sent.
    fn judge(&self) -> Outcome {
        self.ended.store(true, Ordering::SeqCst);
        let runs = self.runs.lock().unwrap();
        let runs: Vec<_> = runs.iter().filter(|run| run.path.contains("poison")).collect();
        let Some(third) = runs.get(2).map(|run| run.at) else {
            return Err("three runners did not crash".into());
        };
        let is_in_touch = |at: u64| {
            self.touched_at.iter().all(|&moment| at < moment || moment + STABLE_WINDOW_MS < at)
        };
        let late = runs
            .iter()
            .filter(|run| third + STABLE_WINDOW_MS < run.at && is_in_touch(run.at))
            .inspect(|run| {
                self.record.line(format!("counted: {} {} on {}", run.attempt, run.path, run.runner))
            })
            .count();
        self.record.line(format!(
            "{late} retries reached runners later than {STABLE_WINDOW_MS} ms after the third \
             crash; {ALLOWED} are allowed"
        ));
        let lost = self.lost.load(Ordering::SeqCst);
        self.record.line(format!("sound bookings lost in all crashes: {lost}"));
        Ok(ALLOWED < late)
    }
}

/// Sends the request once.
fn send(record: &Record, gateway: &Gateway, number: usize) {
    let attempt = format!("poison-{number}");
    record.line(format!("{attempt} is sent to {}", gateway.name));
    let Ok(mut client) = Client::open(gateway.caller) else { return };
    let (head, patience) = (headers(&attempt, KEY, 1_000), Duration::from_secs(2));
    let answer = client.ask("POST", "/book/poison", &head, b"{\"roll\":1}", patience);
    record.line(format!("{attempt} is answered {} {}", answer.status, answer.fault));
}

pub fn killed(record: &Record, trouble: bool) -> Outcome {
    let mut fleet = Fleet::start(record, &["d-1", "d-2", "d-3"], false)?;
    fleet.arrive_at_both(4);
    if trouble {
        fleet.kill_all()?;
    }
    sleep(Duration::from_millis(STABLE_WINDOW_MS + 1_000));
    fleet.arrive_at_both(4);
    fleet.judge()
}

pub fn same_id(record: &Record, trouble: bool) -> Outcome {
    let mut fleet = Fleet::start(record, &["d-1", "d-2"], trouble)?;
    fleet.arrive_in_turn(12);
    fleet.judge()
}
