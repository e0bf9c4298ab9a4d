//! The scenarios: the size and load of the fleet, and the disturbances.

use briarshift_units::Span;

/// A disturbance of engines, VMs or load during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    /// No disturbance.
    None,
    /// Engines join, leave and restart at random.
    Churn,
    /// All engines are restarted, one after another.
    RollingRestart,
    /// The VMs' lists of peers and engines repeatedly differ for some seconds.
    DivergentLists,
    /// One account sends requests at many times its usual rate.
    Surge,
    /// Overnight requests run beside interactive chats.
    Overnight,
    /// The VMs crash and restart, one after another.
    VmCrashes,
}

/// A scenario.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// The name in the results.
    pub name: &'static str,
    /// Number of entry VMs.
    pub vms: usize,
    /// Number of engines at the start.
    pub engines: usize,
    /// Number of open chats for each engine.
    pub chats_per_engine: usize,
    /// Mean time that an answer takes.
    pub mean_answer: Span,
    /// Mean time between an answer and the chat's next request.
    pub mean_pause: Span,
    /// Minimum age of load reports when they reach a VM.
    pub report_lag: Span,
    /// Time before the measurement begins.
    pub warm_up: Span,
    /// Duration of the measurement.
    pub measured: Span,
    /// The disturbance.
    pub disturbance: Disturbance,
}

/// Six VMs and twenty engines, which run 24 requests each on average.
const STEADY: Scenario = Scenario {
    name: "steady",
    vms: 6,
    engines: 20,
    chats_per_engine: 188,
    mean_answer: Span::from_millis(4_400),
    mean_pause: Span::from_secs(30),
    report_lag: Span::from_millis(500),
    warm_up: Span::from_secs(30),
    measured: Span::from_secs(60),
    disturbance: Disturbance::None,
};

/// All scenarios.
pub const ALL: [Scenario; 11] = [
    STEADY,
    Scenario { name: "churn", disturbance: Disturbance::Churn, ..STEADY },
    Scenario { name: "restart-wave", disturbance: Disturbance::RollingRestart, ..STEADY },
    Scenario { name: "disagreeing", disturbance: Disturbance::DivergentLists, ..STEADY },
    Scenario { name: "vm-death", disturbance: Disturbance::VmCrashes, ..STEADY },
    Scenario { name: "surge", disturbance: Disturbance::Surge, ..STEADY },
    Scenario { name: "overnight", disturbance: Disturbance::Overnight, ..STEADY },
    Scenario { name: "small-10", engines: 10, ..STEADY },
    Scenario { name: "small-20", chats_per_engine: 62, ..STEADY },
    Scenario { name: "lag", report_lag: Span::from_secs(2), ..STEADY },
    Scenario {
        name: "large",
        vms: 60,
        engines: 240,
        chats_per_engine: 920,
        mean_answer: Span::from_secs(15),
        measured: Span::from_secs(20),
        warm_up: Span::from_secs(50),
        ..STEADY
    },
];
