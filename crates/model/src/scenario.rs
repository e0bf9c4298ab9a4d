//! Scenarios: the load on a fleet and the faults that occur.

use briarshift_catalog::Kind;
use briarshift_gateway::Features;
use briarshift_routing::hedge::Policy;
use briarshift_units::Span;

use crate::{desk, engine};

/// A stream of similar requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Workload {
    /// Its name, which is also the name of its route.
    pub name: &'static str,
    /// The kind of its route, which determines what may be retried. Streams go to
    /// engines, others to desk runners.
    pub kind: Kind,
    /// Number of requests per second.
    pub rate: f64,
    /// Its prompts. Not used for desk runners.
    pub prompt: Prompt,
    /// Desired time to the first event of a stream, or to any other answer.
    pub latency_goal: Span,
    /// How long callers wait.
    pub deadline: Span,
    /// Maximum number of targets that one request is sent to.
    pub attempts: u32,
    /// Priority; 0 is served first.
    pub priority: u8,
}

/// The structure of a workload's prompts: a shared preamble, a shared part about
/// one topic, and a part that is not shared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Number of preambles, and the length of each in tokens.
    pub preambles: (u64, u32),
    /// Number of topics, and the length of each topic's part in tokens.
    pub topics: (u64, u32),
    /// Mean length of the part that is not shared, in tokens.
    pub own_tokens: u32,
    /// Mean number of events in the answer.
    pub events: u32,
}

/// A fault, a change of the load or a planned operation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Disturbance {
    /// The request rate increases.
    Burst {
        /// Factor by which the rate is multiplied.
        factor: f64,
    },
    /// Many requests of the first workload have the same topic.
    Popular {
        /// Fraction of the requests.
        share: f64,
    },
    /// Targets crash, and restart with an empty cache at the end of the episode.
    Crash {
        /// Whether desk runners crash instead of engines.
        runners: bool,
        /// Number of targets.
        count: usize,
    },
    /// Desk runners drawn at random take longer for the requests that they start.
    Slow {
        /// Factor by which the time is multiplied.
        factor: f64,
        /// Number of targets.
        count: usize,
    },
    /// Callers come to the gateways of the second data centre instead of their own.
    Shift {
        /// Fraction of the callers.
        share: f64,
    },
    /// Engines are replaced one after the other, at equal intervals over the
    /// episode.
    Release {
        /// Number of targets.
        count: usize,
    },
}

/// A disturbance and when it occurs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Episode {
    /// The disturbance.
    pub disturbance: Disturbance,
    /// When it starts, from the start of the load.
    pub start: Span,
    /// How long it lasts.
    pub duration: Span,
}

/// How the speeds of targets differ.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speeds {
    /// How many times longer than specified work takes at engines, by turns, for good.
    pub engines: &'static [f64],
    /// The same for desk runners.
    pub runners: &'static [f64],
    /// Passing slowness of the runners' machines, if there is any.
    pub passing: Option<Passing>,
    /// Whether runners state the passing slowness in their answers.
    pub are_stated: bool,
}

/// Machines that are slow for a while, drawn anew after each period.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Passing {
    /// Fraction of the machines that are slow at a time.
    pub share: f64,
    /// How many times longer work takes there.
    pub factor: f64,
    /// How long it lasts.
    pub period: Span,
}

/// Targets of equal speed.
const EQUAL: Speeds = Speeds { engines: &[1.0], runners: &[1.0], passing: None, are_stated: false };

/// A fleet, its load and its disturbances.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// Number of gateways.
    pub vms: usize,
    /// Number of engines, and their properties.
    pub engines: (usize, engine::Spec),
    /// Number of desk runners, and their properties.
    pub runners: (usize, desk::Spec),
    /// The workloads.
    pub workloads: Vec<Workload>,
    /// The disturbances.
    pub episodes: Vec<Episode>,
    /// How long the load lasts.
    pub duration: Span,
    /// Limit on second sends of late requests.
    pub hedge: Policy,
    /// What the deployment calls for.
    pub features: Features,
    /// How the speeds of targets differ.
    pub speeds: Speeds,
    /// Standard deviation of the logarithm of callers' hints about the length of answers,
    /// if they give hints.
    pub hint_error: Option<f64>,
}

/// Returns a small site under steady load: 6 gateways, 9 engines, 3 desk runners
/// and 70 requests per second.
pub fn steady() -> Scenario {
    let engine = engine::Spec {
        slots: 96,
        memory_tokens: 245_712,
        step: Span(4_730),
        full_slowdown: 1.0,
        read_rate: 38.4,
        max_chunk: 512,
        tokens_per_event: 4,
    };
    let runner = desk::Spec { slots: 6, queue: 24, service_time: Span::from_millis(15) };
    Scenario {
        name: "steady",
        vms: 6,
        engines: (9, engine),
        runners: (3, runner),
        workloads: workloads(),
        episodes: Vec::new(),
        duration: Span::from_secs(30),
        hedge: Policy::OFF,
        features: Features::default(),
        speeds: EQUAL,
        hint_error: None,
    }
}

fn workloads() -> Vec<Workload> {
    let stream = |name, rate, prompt, latency_goal, deadline, priority| Workload {
        name,
        kind: Kind::Stream { resumable: false },
        rate,
        prompt,
        latency_goal: Span::from_millis(latency_goal),
        deadline: Span::from_secs(deadline),
        attempts: 1,
        priority,
    };
    let prompt =
        |preambles, topics, own_tokens, events| Prompt { preambles, topics, own_tokens, events };
    let desk = |name, kind, rate, attempts| Workload {
        name,
        kind,
        rate,
        prompt: Prompt::default(),
        latency_goal: Span::from_millis(100),
        deadline: Span::from_secs(1),
        attempts,
        priority: 2,
    };
    vec![
        stream("draft", 15.6, prompt((4, 2_520), (23, 6_100), 580, 13), 800, 6, 1),
        stream("query", 12.4, prompt((8, 341), (28, 1_700), 360, 6), 600, 4, 0),
        stream("chat", 21.0, prompt((20, 103), (71, 500), 110, 70), 400, 15, 2),
        desk("booking", Kind::Unsafe, 12.2, 1),
        desk("lookup", Kind::Safe, 8.0, 2),
    ]
}

/// Returns the site of [`steady`] under low load. The request rates are those of
/// a real run, against which the simulation is checked.
pub fn quiet() -> Scenario {
    let mut scenario = Scenario { name: "quiet", duration: Span::from_secs(34), ..steady() };
    for (workload, rate) in scenario.workloads.iter_mut().zip([10.1, 7.9, 13.0, 7.2, 8.3]) {
        workload.rate = rate;
    }
    scenario
}

/// Returns all scenarios: low and steady load, and the disturbances that affect
/// the fleet most.
pub fn all() -> Vec<Scenario> {
    let episode = |disturbance, start, duration| Episode {
        disturbance,
        start: Span::from_secs(start),
        duration: Span::from_secs(duration),
    };
    let with = |name, episodes| Scenario { name, episodes, ..steady() };
    vec![
        quiet(),
        steady(),
        with("burst", vec![episode(Disturbance::Burst { factor: 3.0 }, 8, 6)]),
        with("popular", vec![episode(Disturbance::Popular { share: 0.4 }, 8, 8)]),
        with("crash", vec![episode(Disturbance::Crash { runners: false, count: 3 }, 8, 5)]),
        with("release", vec![episode(Disturbance::Release { count: 5 }, 6, 15)]),
        runners_only(episode(Disturbance::Crash { runners: true, count: 2 }, 6, 12)),
    ]
}

/// Returns a site with 20 desk runners at two fifths of their capacity. Each second, three
/// others are slow for 600 ms.
pub fn slow_runners(factor: f64, hedge: Policy) -> Scenario {
    let slow = |second| Episode {
        disturbance: Disturbance::Slow { factor, count: 3 },
        start: Span::from_secs(second),
        duration: Span::from_millis(600),
    };
    let runner = desk::Spec { slots: 6, queue: 24, service_time: Span::from_millis(60) };
    let mut workloads = workloads();
    workloads.retain(|workload| !workload.kind.is_stream());
    for (workload, rate) in workloads.iter_mut().zip([400.0, 400.0]) {
        workload.rate = rate;
        workload.latency_goal = Span::from_millis(300);
        workload.deadline = Span::from_millis(1_500);
    }
    Scenario {
        name: "slow",
        runners: (20, runner),
        workloads,
        episodes: (0..60).map(slow).collect(),
        duration: Span::from_secs(60),
        hedge,
        ..steady()
    }
}

/// Returns the desk runners of a large site of 66 or 36 gateways, whose machines are slow by
/// turns and say so.
pub fn uneven(vms: usize) -> Scenario {
    let (millis, rates, goal) = match vms < 50 {
        true => (30, [182.0, 72.8], 150),
        false => (60, [161.0, 37.3], 300),
    };
    let mut workloads = workloads();
    workloads.retain(|workload| !workload.kind.is_stream());
    for (workload, rate) in workloads.iter_mut().zip(rates) {
        workload.rate = rate;
        workload.latency_goal = Span::from_millis(goal);
        workload.deadline = Span::from_secs(2);
    }
    let runner = desk::Spec { slots: 6, queue: 24, service_time: Span::from_millis(millis) };
    let passing = Passing { share: 0.15, factor: 2.5, period: Span::from_millis(600) };
    Scenario {
        name: "uneven",
        vms,
        engines: (0, steady().engines.1),
        runners: (4, runner),
        workloads,
        speeds: Speeds { passing: Some(passing), are_stated: true, ..EQUAL },
        features: Features { room: true, ..Features::default() },
        ..steady()
    }
}

/// Returns engines of two makes, one of which is slower for good, with callers that hint
/// the length of their answers.
pub fn two_makes(vms: usize) -> Scenario {
    let mut workloads = workloads();
    workloads.retain(|workload| workload.kind.is_stream());
    for workload in &mut workloads {
        workload.rate *= 3.0;
    }
    Scenario {
        name: "two-makes",
        vms,
        engines: (27, steady().engines.1),
        runners: (0, steady().runners.1),
        workloads,
        speeds: Speeds { engines: &[1.0, 1.0, 1.3], ..EQUAL },
        features: Features { room: true, ..Features::default() },
        hint_error: Some(0.5),
        duration: Span::from_secs(16),
        ..steady()
    }
}

/// Returns engines with little memory, under a burst in which a third of them is lost.
pub fn little_memory(vms: usize) -> Scenario {
    let episode = |disturbance| Episode {
        disturbance,
        start: Span::from_secs(4),
        duration: Span::from_secs(6),
    };
    let scenario = two_makes(vms);
    let (count, engine) = scenario.engines;
    Scenario {
        name: "little-memory",
        engines: (count, engine::Spec { memory_tokens: 40_000, ..engine }),
        episodes: vec![
            episode(Disturbance::Burst { factor: 2.0 }),
            episode(Disturbance::Crash { runners: false, count: count / 3 }),
        ],
        ..scenario
    }
}

/// Returns the desk runners of a large site, half of which are lost. The others
/// can serve nine tenths of the requests.
fn runners_only(crash: Episode) -> Scenario {
    let runner = desk::Spec { slots: 6, queue: 24, service_time: Span::from_millis(60) };
    let mut workloads = workloads();
    workloads.retain(|workload| !workload.kind.is_stream());
    for (workload, rate) in workloads.iter_mut().zip([158.0, 63.0]) {
        workload.rate = rate;
        workload.latency_goal = Span::from_millis(300);
        workload.deadline = Span::from_millis(1_500);
    }
    Scenario {
        name: "desks",
        vms: 40,
        runners: (4, runner),
        workloads,
        episodes: vec![crash],
        ..steady()
    }
}
