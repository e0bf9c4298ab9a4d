//! VMs that read the store for all data centres.

use std::net::SocketAddr;

use briarshift_units::Span;

use crate::fleet::{CHANGE, Fleet, address, data_centre};

/// Number of VMs: twelve in each of five data centres.
const SIZE: usize = 60;

fn vms() -> impl Iterator<Item = SocketAddr> {
    (0..SIZE).map(address)
}

/// Returns a fleet in which all VMs know each other, and the VMs that read the
/// store.
fn settled() -> (Fleet, Vec<SocketAddr>) {
    let mut fleet = Fleet::new(SIZE);
    fleet.run(Span::from_secs(4), 0.0);
    let readers = fleet.readers.clone();
    fleet.readers.clear();
    fleet.run(Span::from_secs(3), 0.0);
    let readers = fleet.readers.iter().filter(|vm| readers.contains(vm)).copied().collect();
    (fleet, readers)
}

/// Applies a fault and checks that every VM that `still` accepts keeps within
/// the bound on changes.
#[track_caller]
fn check_bound(fault: impl Fn(&mut Fleet, &[SocketAddr])) {
    let (mut fleet, readers) = settled();
    fault(&mut fleet, &readers);
    for step in 0..160 {
        fleet.run(Span::from_millis(50), 0.0);
        let age = fleet.max_age();
        assert!(age <= CHANGE.as_millis(), "{age} ms after {} ms", (step + 1) * 50);
    }
}

/// Without readers, the delegates of all five data centres read the store, each
/// every 0.8 s. Readers take turns of 1.2 s, which the bound allows.
#[test]
fn two_vms_read_the_store_for_all_data_centres() {
    let (mut fleet, readers) = settled();
    assert_eq!(readers.len(), 2);
    fleet.reads = 0;
    fleet.run(Span::from_secs(10), 0.0);
    assert!(fleet.reads <= 18, "{} calls", fleet.reads);
    assert!(fleet.max_age() <= 2_200, "{} ms", fleet.max_age());
}

#[test]
fn the_bound_holds_if_the_readers_stop() {
    check_bound(|fleet, readers| fleet.stopped.extend(&readers[..1]));
    check_bound(|fleet, readers| fleet.stopped.extend(&readers[1..]));
    check_bound(|fleet, readers| fleet.stopped.extend(readers));
}

#[test]
fn the_bound_holds_if_the_readers_lose_the_store() {
    check_bound(|fleet, readers| fleet.cut_from_store.extend(&readers[..1]));
    check_bound(|fleet, readers| fleet.cut_from_store.extend(readers));
}

#[test]
fn the_bound_holds_if_a_data_centre_is_cut_off() {
    for name in ["a", "b", "c", "d", "e"] {
        check_bound(|fleet, _| fleet.cut_off.extend([name]));
    }
}

#[test]
fn the_bound_holds_if_all_but_one_vm_of_each_data_centre_stop() {
    check_bound(|fleet, _| fleet.stopped.extend(vms().skip(5)));
    let kept: Vec<_> = vms().take(5).map(data_centre).collect();
    assert_eq!(kept, ["a", "b", "c", "d", "e"]);
}

/// A reader that read all rows after the store had dropped its history did not
/// respond meanwhile, so that delegates, and then all other VMs, read them too.
#[test]
fn a_lost_history_makes_only_the_readers_read_all_rows() {
    let (mut fleet, _) = settled();
    fleet.full_reads = 0;
    fleet.compact();
    for _ in 0..100 {
        fleet.run(Span::from_millis(50), 0.0);
        assert!(fleet.max_age() <= CHANGE.as_millis(), "{} ms", fleet.max_age());
    }
    assert_eq!(fleet.full_reads, 2);
}
