//! What happens in each scenario.

use briarshift_units::Span;

/// What is done to engines and VMs while requests flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Engines join, leave and flap.
    Churn,
    /// Every engine is restarted, one after another.
    RestartWave,
    /// VMs' lists of peers and engines differ for seconds, again and again.
    Disagreeing,
    /// One account asks for many times its usual share.
    Surge,
    /// Overnight work beside interactive chats.
    Overnight,
    /// The VM that decides most dies and comes back.
    VmDeath,
}

/// One scenario.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// Entry VMs.
    pub vms: usize,
    /// Engines at the start.
    pub engines: usize,
    /// Chats that are open at any time, for each engine.
    pub chats: usize,
    /// Mean time of an answer.
    pub answer: Span,
    /// Mean pause between an answer and the chat's next request.
    pub pause: Span,
    /// Age of the youngest load reports.
    pub lag: Span,
    /// Time before measuring.
    pub warm_up: Span,
    /// Time measured.
    pub measured: Span,
    /// What goes wrong.
    pub trouble: Trouble,
}

/// Six VMs and twenty engines, which hold 24 requests each on average.
const STEADY: Scenario = Scenario {
    name: "steady",
    vms: 6,
    engines: 20,
    chats: 188,
    answer: Span::from_millis(4_400),
    pause: Span::from_secs(30),
    lag: Span::from_millis(500),
    warm_up: Span::from_secs(30),
    measured: Span::from_secs(60),
    trouble: Trouble::None,
};

/// All scenarios.
pub const ALL: [Scenario; 11] = [
    STEADY,
    Scenario { name: "churn", trouble: Trouble::Churn, ..STEADY },
    Scenario { name: "restart-wave", trouble: Trouble::RestartWave, ..STEADY },
    Scenario { name: "disagreeing", trouble: Trouble::Disagreeing, ..STEADY },
    Scenario { name: "vm-death", trouble: Trouble::VmDeath, ..STEADY },
    Scenario { name: "surge", trouble: Trouble::Surge, ..STEADY },
    Scenario { name: "overnight", trouble: Trouble::Overnight, ..STEADY },
    Scenario { name: "small-10", engines: 10, ..STEADY },
    Scenario { name: "small-20", chats: 62, ..STEADY },
    Scenario { name: "lag", lag: Span::from_secs(2), ..STEADY },
    Scenario {
        name: "large",
        vms: 60,
        engines: 240,
        chats: 920,
        answer: Span::from_secs(15),
        measured: Span::from_secs(20),
        warm_up: Span::from_secs(50),
        ..STEADY
    },
];
