//! Cold targets get requests within their rate, whatever VMs know of each other.

use briarshift_routing::slow_start::{Turns, feeders, interval};
use briarshift_units::{Moment, RequestRate, Span};
use proptest::prelude::prop;
use proptest::proptest;

const RATE: RequestRate = RequestRate(11_000);
const STEP: Span = Span::from_millis(10);

/// A VM, the VMs that it knows before and after a moment, and its turns.
struct Vm {
    name: String,
    views: [Vec<String>; 2],
    changes_at: Moment,
    turns: Turns,
}

impl Vm {
    fn draw(&mut self, target: &str, rate: RequestRate, now: Moment, entropy: u64) {
        let view = &self.views[usize::from(self.changes_at <= now)];
        let others = view.iter().map(String::as_str).filter(|vm| *vm != self.name);
        let interval = interval(target, &self.name, others, rate);
        self.turns.set_interval(interval, now, entropy);
    }
}

fn name(vm: usize) -> String {
    format!("vm-{vm}")
}

/// Lets each VM send whenever it may for 6 s. Returns the most requests in any second, and
/// the number of all.
fn run(target: &str, rate: RequestRate, vms: &mut [Vm]) -> (usize, usize) {
    let mut sends: Vec<Moment> = Vec::new();
    let mut now = Moment(0);
    while now < Moment(0) + Span::from_secs(6) {
        for (index, vm) in vms.iter_mut().enumerate() {
            if now == Moment(0) || (vm.changes_at <= now && now < vm.changes_at + STEP) {
                vm.draw(target, rate, now, index as u64 * 377_777);
            }
            if vm.turns.permitted_at().is_some_and(|at| at <= now) {
                vm.turns.record_send(now);
                sends.push(now);
            }
        }
        now = now + STEP;
    }
    let within = |from: &Moment| {
        sends.iter().filter(|at| from <= *at && at.since(*from) < Span::from_secs(1)).count()
    };
    (sends.iter().map(within).max().unwrap_or(0), sends.len())
}

fn bound(rate: RequestRate) -> usize {
    (rate.per_second() * 1.5 + 5.0) as usize
}

proptest! {
    /// VMs of which some do not know of others yet, or no longer, and learn it midway, add
    /// no more than the number of those that are not known to all.
    #[test]
    fn differing_knowledge_adds_no_more_than_it_differs_by(
        known_to_all in 1..40_usize,
        views in prop::collection::vec((0..64_u8, 0..64_u8, 0..5_000_u64), 6..46),
        rate in 200..16_000_u64,
    ) {
        let rate = RequestRate(rate);
        let rare = 6;
        let knows = |mask: u8| {
            let known = (0..rare).filter(|vm| mask >> vm & 1 == 1).map(|vm| name(100 + vm));
            (0..known_to_all).map(name).chain(known).collect::<Vec<_>>()
        };
        let names = (0..known_to_all).map(name).chain((0..rare).map(|vm| name(100 + vm)));
        let mut vms: Vec<_> = names.zip(views.iter().cycle()).map(|(name, (before, after, at))| Vm {
            name,
            views: [knows(*before), knows(*after)],
            changes_at: Moment(0) + Span::from_millis(*at),
            turns: Turns::new(),
        }).collect();
        let (most, _) = run("e-1", rate, &mut vms);
        // VMs fewer than the feeders have several turns a second.
        let shared = known_to_all.min(feeders(rate));
        let most_each = feeders(rate).div_ceil(shared);
        assert!(most <= (shared + rare) * most_each, "{most} at {rate}");
        if feeders(rate) <= known_to_all {
            assert!(most <= feeders(rate) + rare, "{most} at {rate}");
        }
    }

    #[test]
    fn fleets_of_any_size_stay_within_the_bound_and_use_most_of_the_rate(
        size in 1..300_usize,
        rate in 1_000..16_000_u64,
        target in "[a-z]{1,8}",
    ) {
        let rate = RequestRate(rate);
        let all: Vec<_> = (0..size).map(name).collect();
        let vm = |name: &String| Vm {
            name: name.clone(),
            views: [all.clone(), all.clone()],
            changes_at: Moment(0),
            turns: Turns::new(),
        };
        let mut vms: Vec<_> = all.iter().map(vm).collect();
        let is_fed = |vm: &Vm| interval(&target, &vm.name, all.iter().map(String::as_str).filter(|other| *other != vm.name), rate).is_some();
        vms.retain(is_fed);
        assert_eq!(vms.len(), size.min(feeders(rate)));
        let (most, total) = run(&target, rate, &mut vms);
        assert!(most <= bound(rate), "{most} at {rate}");
        // The first turn of each may be late.
        assert!(0.5 * rate.per_second() * 5.0 <= total as f64, "{total} at {rate}");
    }
}

/// Two halves of a fleet that have never known of each other.
#[test]
fn feeders_that_have_no_vm_in_common_stay_within_the_bound() {
    for size in [81, 295] {
        let half = |from: usize| (from..size).step_by(2).map(name).collect::<Vec<_>>();
        let vms = (0..size).map(|vm| Vm {
            name: name(vm),
            views: [half(vm % 2), half(vm % 2)],
            changes_at: Moment(0),
            turns: Turns::new(),
        });
        let mut vms: Vec<_> = vms.collect();
        let (most, _) = run("e-1", RATE, &mut vms);
        assert!(most <= bound(RATE), "{most} of {size} VMs");
    }
}
