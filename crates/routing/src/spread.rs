//! Selection of a runner by loads that are older than most requests run.
//!
//! The load pattern that it answers: hundreds of VMs, each with a few short
//! requests a second, that decide at once. By the time a VM learns of a runner's
//! load, the requests that made it up have ended. If VMs took the runner that
//! seems least loaded, all of them would take the same one until the next report,
//! and if each took a runner of its own data centre that seems idle, the only
//! runner of a data centre would get all requests of its VMs.
//!
//! So the runners of a data centre get at most their share of the fleet's
//! requests from the VMs there, and the rest is spread over all runners. Loads
//! only decide if they differ by more than chance explains, which shows a runner
//! that is slow or has a queue.

use crate::selection::{Candidate, error_cost, usable};

/// Difference of two loads that counts as more than chance, in standard
/// deviations. Independent arrivals make a load vary by the square root of its
/// mean.
pub(crate) const SIGNIFICANT_DEVIATIONS: f64 = 2.0;

/// Selects a runner and returns its index. `vm_share` is the fraction of the
/// fleet's VMs that are in this VM's data centre, and `entropy` is a random
/// number. Returns `None` if there are no candidates.
///
/// # Examples
///
/// ```
/// use briarshift_routing::selection::Candidate;
/// use briarshift_routing::spread::select_runner;
/// let candidate = |name, load, local| {
///     Candidate { name, load, backlog: 0, slots: 6, local, healthy: true, error_rate: 0.0 }
/// };
/// // A third of the VMs share one of three runners, so all of their requests stay.
/// let near = [candidate("a", 1, true), candidate("b", 0, false), candidate("c", 0, false)];
/// assert_eq!(select_runner(&near, 0.33, 5), Some(0));
/// let queueing = [candidate("a", 30, true), candidate("b", 1, false), candidate("c", 1, false)];
/// assert_ne!(select_runner(&queueing, 0.33, 5), Some(0));
/// ```
pub fn select_runner(candidates: &[Candidate<'_>], vm_share: f64, entropy: u64) -> Option<usize> {
    let usable = usable(candidates);
    let load: u32 = usable.iter().map(|&index| candidates[index].load).sum();
    let mean = f64::from(load) / usable.len().max(1) as f64;
    let noise = SIGNIFICANT_DEVIATIONS * mean.sqrt().max(1.0);
    let is_overloaded = |index: usize| mean + noise < cost(&candidates[index]);
    let is_near = |&index: &usize| candidates[index].local && !is_overloaded(index);
    let local: Vec<_> = usable.iter().copied().filter(is_near).collect();
    let local_slots = slots(candidates, &local);
    let local_share = local_slots / slots(candidates, &usable).max(1.0);
    if draw(entropy, 0) * vm_share < local_share {
        return pick(candidates, &local, noise, entropy);
    }
    pick(candidates, &usable, noise, entropy)
}

/// Draws a runner at random, by the numbers of slots. Draws another one if that
/// one's cost is more than `noise` above the other's.
fn pick(
    candidates: &[Candidate<'_>],
    choices: &[usize],
    noise: f64,
    entropy: u64,
) -> Option<usize> {
    let one = draw_by_slots(candidates, choices, draw(entropy, 1))?;
    let two = draw_by_slots(candidates, choices, draw(entropy, 2))?;
    let is_better = cost(&candidates[two]) + noise < cost(&candidates[one]);
    Some(if is_better { two } else { one })
}

fn draw_by_slots(candidates: &[Candidate<'_>], choices: &[usize], drawn: f64) -> Option<usize> {
    let mut left = drawn * slots(candidates, choices);
    for &index in choices {
        left -= f64::from(candidates[index].slots.max(1));
        if left < 0.0 {
            return Some(index);
        }
    }
    choices.last().copied()
}

fn slots(candidates: &[Candidate<'_>], choices: &[usize]) -> f64 {
    choices.iter().map(|&index| f64::from(candidates[index].slots.max(1))).sum()
}

fn cost(candidate: &Candidate<'_>) -> f64 {
    f64::from(candidate.load) + error_cost(candidate)
}

/// Returns one of several independent numbers from 0 to 1 that a random number
/// yields.
pub(crate) fn draw(entropy: u64, number: u64) -> f64 {
    let mixed = (entropy ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_mul(0xbf58_476d_1ce4_e5b9)
        .rotate_left(31)
        .wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}
