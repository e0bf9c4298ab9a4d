//! Resource usage of an entry VM's process, by the size of the fleet.
//!
//! `cargo bench --bench processes [-- --json]` starts 6, 12, 24 and 48 `briarshift serve` processes
//! on loopback with stand-ins for the platform and the targets. After a settling time it measures
//! one period without requests and one with requests: processor time (of the process, and of its
//! control thread alone) and memory from `/proc`, control bytes from `/metrics`, and the calls that
//! the stand-in platform has counted.

#[path = "../tests/all/fleet.rs"]
#[allow(dead_code, reason = "the integration tests use the rest")]
mod fleet;

use std::time::{Duration, Instant};

use briarshift_standin::engine;
use futures::future::join_all;

use fleet::{Fleet, Vm, engines, message};

/// Numbers of entry VMs.
const FLEET_SIZES: [usize; 4] = [6, 12, 24, 48];
/// Number of engines.
const ENGINE_COUNT: usize = 20;
/// Number of runners.
const RUNNER_COUNT: usize = 3;
/// Time before each measurement in which the fleet settles.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Duration of each measurement.
const MEASURED_TIME: Duration = Duration::from_secs(15);
/// Number of concurrent requests in the measurement with requests.
const CALLERS: usize = 60;
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Counters at one moment, summed over all VMs.
#[derive(Debug, Clone, Copy, Default)]
struct Reading {
    cpu_s: f64,
    control_cpu_s: f64,
    memory_mb: f64,
    frame_bytes: f64,
    udp_bytes: f64,
    platform_calls: f64,
}

/// Returns the processor time in seconds from a `stat` file of `/proc`.
fn cpu_s(stat: &str) -> f64 {
    // The process name may contain spaces, but the fields after it don't.
    let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Returns the processor time of a VM's process in seconds.
fn process_cpu_s(vm: &Vm) -> f64 {
    cpu_s(&std::fs::read_to_string(format!("/proc/{}/stat", vm.pid())).unwrap())
}

/// Returns the processor time in seconds of the control thread, which runs the reducer, the peer
/// transport and the store calls.
fn control_cpu_s(vm: &Vm) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", vm.pid())).unwrap();
    let stats =
        tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("stat")).ok());
    stats.filter(|stat| stat.contains("(control")).map(|stat| cpu_s(&stat)).sum()
}

/// Returns the resident memory of a VM's process in MiB.
fn memory_mb(vm: &Vm) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", vm.pid())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.split_whitespace().next().unwrap().parse::<f64>().unwrap() / 1_024.0
}

/// Returns the sum of the samples of all metrics whose names start with `prefix`.
fn metric_sum(metrics: &str, prefix: &str) -> f64 {
    let lines = metrics.lines().filter(|line| line.starts_with(prefix));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Reads the counters of all VMs and of the platform.
async fn read_counters(fleet: &Fleet) -> Reading {
    let calls = fleet.platform.calls();
    let mut reading =
        Reading { platform_calls: (calls.reads() + calls.writes()) as f64, ..Reading::default() };
    for vm in &fleet.vms {
        let url = format!("http://{}/metrics", vm.operators);
        let mut response = awc::Client::default().get(url).send().await.unwrap();
        let text = String::from_utf8(response.body().await.unwrap().to_vec()).unwrap();
        reading.frame_bytes += metric_sum(&text, "briarshift_peer_sent_bytes");
        reading.udp_bytes += metric_sum(&text, "briarshift_peer_udp_sent_bytes");
        reading.cpu_s += process_cpu_s(vm);
        reading.control_cpu_s += control_cpu_s(vm);
        reading.memory_mb += memory_mb(vm);
    }
    reading
}

/// Returns the number of requests that the engines have run.
fn run_count(engines: &[engine::Server]) -> usize {
    engines.iter().map(|engine| engine.log().runs.len()).sum()
}

/// Runs callers that each send one chat after another until the end of the measurement.
async fn send_requests(fleet: &Fleet, end: Instant) {
    let callers = (0..CALLERS).map(|caller| async move {
        let mut chat = 0;
        while Instant::now() < end {
            chat += 1;
            let text = format!("caller {caller} round {chat}");
            fleet.chat((caller + chat) % fleet.vms.len(), &message(&text), None, true).await;
        }
    });
    join_all(callers).await;
}

/// Measures the fleet with or without requests and prints the results.
async fn measure_load(fleet: &Fleet, with_requests: bool, json: bool) {
    tokio::time::sleep(SETTLING_TIME).await;
    let (before, runs_before, start) =
        (read_counters(fleet).await, run_count(&fleet.engines), Instant::now());
    if with_requests {
        send_requests(fleet, start + MEASURED_TIME).await;
    } else {
        tokio::time::sleep(MEASURED_TIME).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let after = read_counters(fleet).await;
    let vms = fleet.vms.len() as f64;
    let per_second_per_vm = |value: f64| value / seconds / vms;
    let requests = per_second_per_vm((run_count(&fleet.engines) - runs_before) as f64);
    let cpu = 100.0 * per_second_per_vm(after.cpu_s - before.cpu_s);
    let control = 100.0 * per_second_per_vm(after.control_cpu_s - before.control_cpu_s);
    let memory = after.memory_mb / vms;
    let frames = per_second_per_vm(after.frame_bytes - before.frame_bytes);
    let udp = per_second_per_vm(after.udp_bytes - before.udp_bytes);
    let calls = (after.platform_calls - before.platform_calls) / seconds;
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

/// Starts a fleet of this size and measures it without and with requests.
async fn measure_fleet(size: usize, json: bool) {
    let engines = engines(ENGINE_COUNT, 16, Duration::from_millis(10));
    let fleet = Fleet::start(size, engines, RUNNER_COUNT).await;
    measure_load(&fleet, false, json).await;
    measure_load(&fleet, true, json).await;
}

fn main() {
    let json = std::env::args().any(|argument| argument == "--json");
    if !json {
        println!("  VMs  req/s/VM    cpu %  control %       MB frame B/s   udp B/s   calls/s");
    }
    actix_rt::System::new().block_on(async {
        for size in FLEET_SIZES {
            measure_fleet(size, json).await;
        }
    });
}
