//! What load there is, and what goes wrong.

use briarshift_catalog::Kind;
use briarshift_units::Span;

use crate::{desk, engine};

/// Requests of one kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Workload {
    /// Its name, and its route's.
    pub name: &'static str,
    /// What may be repeated. Streams go to engines, others to plain services.
    pub kind: Kind,
    /// Requests a second.
    pub rate: f64,
    /// Its prompts; of no use for plain services.
    pub prompt: Prompt,
    /// Time to the first event, or to the answer, that callers want.
    pub aim: Span,
    /// How long they wait.
    pub deadline: Span,
    /// Most targets for one request.
    pub attempts: u32,
    /// Rank, 0 first.
    pub priority: u8,
}

/// Prompts of one kind: one of a few beginnings, one of some things that they
/// are about, and an own part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Beginnings, and the tokens of each.
    pub beginnings: (u64, u32),
    /// Things, and the tokens of each thing's part.
    pub things: (u64, u32),
    /// Tokens of the own part, in the mean.
    pub own: u32,
    /// Events of the answer, in the mean.
    pub events: u32,
}

/// Something that goes wrong, or is planned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Disturbance {
    /// There are `x` times as many requests.
    Burst {
        /// How many times.
        x: f64,
    },
    /// A share of the requests of the first kind is about one thing.
    Popular {
        /// The share.
        share: f64,
    },
    /// Targets crash, and come back empty at the end.
    Crash {
        /// Plain services instead of engines.
        desks: bool,
        /// How many.
        count: usize,
    },
    /// Engines are replaced one after the other, over the whole time.
    Release {
        /// How many.
        count: usize,
    },
}

/// A trouble and its time, from the start of the load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Episode {
    /// What.
    pub disturbance: Disturbance,
    /// From when.
    pub start: Span,
    /// For how long.
    pub duration: Span,
}

/// One day of a fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// Gateways.
    pub vms: usize,
    /// Engines, and what they are like.
    pub engines: (usize, engine::Spec),
    /// Plain services, and what they are like.
    pub desks: (usize, desk::Spec),
    /// The load.
    pub workloads: Vec<Workload>,
    /// What goes wrong.
    pub episodes: Vec<Episode>,
    /// How long the load lasts.
    pub duration: Span,
}

/// A small site: 6 gateways, 9 engines, 3 plain services, 70 requests a second.
pub fn steady() -> Scenario {
    let engine = engine::Spec {
        slots: 96,
        memory: 245_712,
        step: Span(4_730),
        crowded: 1.0,
        read: 38.4,
        chunk: 512,
        event: 4,
    };
    let desk = desk::Spec { slots: 6, queue: 24, work: Span::from_millis(15) };
    Scenario {
        name: "steady",
        vms: 6,
        engines: (9, engine),
        desks: (3, desk),
        workloads: loads(),
        episodes: Vec::new(),
        duration: Span::from_secs(30),
    }
}

fn loads() -> Vec<Workload> {
    let stream = |name, rate, prompt, aim, deadline, rank| Workload {
        name,
        kind: Kind::Stream { resumable: false },
        rate,
        prompt,
        aim: Span::from_millis(aim),
        deadline: Span::from_secs(deadline),
        attempts: 1,
        priority: rank,
    };
    let prompt = |beginnings, things, own, events| Prompt { beginnings, things, own, events };
    let plain = |name, kind, rate, attempts| Workload {
        name,
        kind,
        rate,
        prompt: Prompt::default(),
        aim: Span::from_millis(100),
        deadline: Span::from_secs(1),
        attempts,
        priority: 2,
    };
    vec![
        stream("draft", 15.6, prompt((4, 2_520), (23, 6_100), 580, 13), 800, 6, 1),
        stream("query", 12.4, prompt((8, 341), (28, 1_700), 360, 6), 600, 4, 0),
        stream("chat", 21.0, prompt((20, 103), (71, 500), 110, 70), 400, 15, 2),
        plain("booking", Kind::Unsafe, 12.2, 1),
        plain("lookup", Kind::Safe, 8.0, 2),
    ]
}

/// A quiet day of that site, as it was played: what the model is checked against.
pub fn quiet() -> Scenario {
    let mut scenario = Scenario { name: "quiet", duration: Span::from_secs(34), ..steady() };
    for (load, rate) in scenario.workloads.iter_mut().zip([10.1, 7.9, 13.0, 7.2, 8.3]) {
        load.rate = rate;
    }
    scenario
}

/// All scenarios: the steady load, and what makes it worst.
pub fn all() -> Vec<Scenario> {
    let spell = |trouble, from, length| Episode {
        disturbance: trouble,
        start: Span::from_secs(from),
        duration: Span::from_secs(length),
    };
    let with = |name, episodes| Scenario { name, episodes, ..steady() };
    vec![
        quiet(),
        steady(),
        with("burst", vec![spell(Disturbance::Burst { x: 3.0 }, 8, 6)]),
        with("popular", vec![spell(Disturbance::Popular { share: 0.4 }, 8, 8)]),
        with("crash", vec![spell(Disturbance::Crash { desks: false, count: 3 }, 8, 5)]),
        with("release", vec![spell(Disturbance::Release { count: 5 }, 6, 15)]),
        desks(spell(Disturbance::Crash { desks: true, count: 2 }, 6, 12)),
    ]
}

/// A large site's plain services, of which half are lost: what is left serves
/// nine tenths of the requests.
fn desks(lost: Episode) -> Scenario {
    let desk = desk::Spec { slots: 6, queue: 24, work: Span::from_millis(60) };
    let mut loads = loads();
    loads.retain(|load| !load.kind.is_stream());
    for (load, rate) in loads.iter_mut().zip([158.0, 63.0]) {
        load.rate = rate;
        load.aim = Span::from_millis(300);
        load.deadline = Span::from_millis(1_500);
    }
    Scenario {
        name: "desks",
        vms: 40,
        desks: (4, desk),
        workloads: loads,
        episodes: vec![lost],
        ..steady()
    }
}
