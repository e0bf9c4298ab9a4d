//! What an entry VM costs as a process, by the size of the fleet.
//!
//! `cargo bench --bench processes [-- --json]` starts 6, 12, 24 and 48
//! `briarshift serve` processes on loopback around the stand-ins, lets them
//! settle, and measures a span without and one with requests: processor time
//! (of the process, and of its control thread alone) and memory from `/proc`, control bytes from `/metrics`, calls from the
//! stand-in platform's own count.

#[path = "../tests/all/fleet.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod fleet;

use std::time::{Duration, Instant};

use briarshift_standin::engine;
use futures::future::join_all;

use fleet::{Fleet, Vm, engines, message};

/// Sizes of the fleet.
const SIZES: [usize; 4] = [6, 12, 24, 48];
/// Targets: engines and runners.
const ENGINES: usize = 20;
const RUNNERS: usize = 3;
/// Time to settle before each span.
const SETTLE: Duration = Duration::from_secs(5);
/// Length of a span.
const SPAN: Duration = Duration::from_secs(15);
/// Requests under way at once in the span with requests.
const CALLERS: usize = 60;
/// Clock ticks a second in `/proc/PID/stat`.
const TICKS: f64 = 100.0;

/// Sums over all VMs at one moment.
#[derive(Debug, Clone, Copy, Default)]
struct Reading {
    cpu_s: f64,
    control_cpu_s: f64,
    memory_mb: f64,
    frame_bytes: f64,
    udp_bytes: f64,
    calls: f64,
}

/// Processor seconds in one `stat` file of `/proc`.
fn cpu_s(stat: &str) -> f64 {
    // The name may hold spaces; the fields after it do not.
    let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks = |idx: usize| fields[idx].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS
}

fn process_cpu_s(vm: &Vm) -> f64 {
    cpu_s(&std::fs::read_to_string(format!("/proc/{}/stat", vm.pid())).unwrap())
}

/// The thread that runs the reducer, the peer transport and the store calls.
fn control_cpu_s(vm: &Vm) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", vm.pid())).unwrap();
    let stats =
        tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("stat")).ok());
    stats.filter(|stat| stat.contains("(control")).map(|stat| cpu_s(&stat)).sum()
}

fn memory_mb(vm: &Vm) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", vm.pid())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.split_whitespace().next().unwrap().parse::<f64>().unwrap() / 1_024.0
}

fn sum(metrics: &str, name: &str) -> f64 {
    let lines = metrics.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

async fn read(fleet: &Fleet) -> Reading {
    let calls = fleet.platform.calls();
    let mut reading =
        Reading { calls: (calls.reads() + calls.writes()) as f64, ..Reading::default() };
    for vm in &fleet.vms {
        let url = format!("http://{}/metrics", vm.operators);
        let mut response = awc::Client::default().get(url).send().await.unwrap();
        let text = String::from_utf8(response.body().await.unwrap().to_vec()).unwrap();
        reading.frame_bytes += sum(&text, "briarshift_peer_sent_bytes");
        reading.udp_bytes += sum(&text, "briarshift_peer_udp_sent_bytes");
        reading.cpu_s += process_cpu_s(vm);
        reading.control_cpu_s += control_cpu_s(vm);
        reading.memory_mb += memory_mb(vm);
    }
    reading
}

fn runs(engines: &[engine::Server]) -> usize {
    engines.iter().map(|engine| engine.log().runs.len()).sum()
}

/// Callers that each send one chat after another until the span is over.
async fn load(fleet: &Fleet, until: Instant) {
    let callers = (0..CALLERS).map(|number| async move {
        let mut round = 0;
        while Instant::now() < until {
            round += 1;
            let text = format!("caller {number} round {round}");
            fleet.chat((number + round) % fleet.vms.len(), &message(&text), None, true).await;
        }
    });
    join_all(callers).await;
}

async fn span(fleet: &Fleet, with_requests: bool, json: bool) {
    tokio::time::sleep(SETTLE).await;
    let (before, runs_before, start) = (read(fleet).await, runs(&fleet.engines), Instant::now());
    if with_requests {
        load(fleet, start + SPAN).await;
    } else {
        tokio::time::sleep(SPAN).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let after = read(fleet).await;
    let vms = fleet.vms.len() as f64;
    let each = |value: f64| value / seconds / vms;
    let requests = each((runs(&fleet.engines) - runs_before) as f64);
    let cpu = 100.0 * each(after.cpu_s - before.cpu_s);
    let control = 100.0 * each(after.control_cpu_s - before.control_cpu_s);
    let memory = after.memory_mb / vms;
    let frames = each(after.frame_bytes - before.frame_bytes);
    let udp = each(after.udp_bytes - before.udp_bytes);
    let calls = (after.calls - before.calls) / seconds;
    if json {
        let line = serde_json::json!({
            "vms": fleet.vms.len(), "requests_per_s_per_vm": requests, "cpu_percent": cpu,
            "control_cpu_percent": control,
            "memory_mb": memory, "frame_bytes_per_s_per_vm": frames,
            "udp_bytes_per_s_per_vm": udp, "platform_calls_per_s": calls,
        });
        println!("{line}");
    } else {
        let count = fleet.vms.len();
        print!("{count:>5} {requests:>9.1} {cpu:>8.2} {control:>10.2} {memory:>8.1} ");
        println!("{frames:>9.0} {udp:>9.0} {calls:>9.1}");
    }
}

async fn measure(size: usize, json: bool) {
    let engines = engines(ENGINES, 16, Duration::from_millis(10));
    let fleet = Fleet::start(size, engines, RUNNERS).await;
    span(&fleet, false, json).await;
    span(&fleet, true, json).await;
}

fn main() {
    let json = std::env::args().any(|argument| argument == "--json");
    if !json {
        println!("  VMs  req/s/VM    cpu %  control %       MB frame B/s   udp B/s   calls/s");
    }
    actix_rt::System::new().block_on(async {
        for size in SIZES {
            measure(size, json).await;
        }
    });
}
