//! Lengths of gossip, by which senders fill their messages.

use std::net::SocketAddr;

use briarshift_units::{Digest, FencingToken, Revision, StartNumber};
use briarshift_wire::document::Head;
use briarshift_wire::gossip::{Health, IndirectAck, Leaving, Load, Member, Message};
use briarshift_wire::{Frame, Message as Any};
use proptest::prelude::*;

fn member() -> impl Strategy<Value = Member> {
    let id = "[a-z0-9-]{1,128}";
    (id, "[a-z]{1,20}", any::<SocketAddr>(), any::<u64>(), any::<u64>()).prop_map(
        |(vm, place, address, start, version)| Member {
            vm: vm.parse().unwrap(),
            data_centre: place.parse().unwrap(),
            address,
            start: StartNumber(start),
            version,
            health: Health::Leaving,
        },
    )
}

fn load() -> impl Strategy<Value = Load> {
    let counts = (any::<u32>(), any::<u32>(), any::<u32>());
    let models = prop::collection::vec("[a-z0-9-]{1,40}", 0..4);
    ("[a-z0-9-]{1,128}", any::<u64>(), counts, models, any::<Option<u64>>()).prop_map(
        |(target, start, (running, waiting, age_ms), models, fencing)| Load {
            target: target.parse().unwrap(),
            start: StartNumber(start),
            running,
            waiting,
            leaving: Leaving::Reported,
            down: true,
            models: models.into_iter().map(|model| model.parse().unwrap()).collect(),
            fencing: fencing.map(FencingToken),
            age_ms,
        },
    )
}

fn length(message: Message) -> usize {
    Frame::encode(&Any::Gossip(message)).unwrap().as_bytes().len()
}

proptest! {
    #[test]
    fn weights_are_the_encoded_lengths(member in member(), load in load(), revision in any::<u64>()) {
        let empty = length(Message::default());
        let one = Message { members: vec![member.clone()], ..Message::default() };
        prop_assert_eq!(length(one) - empty, member.encoded_len());
        let one = Message { loads: vec![load.clone()], ..Message::default() };
        prop_assert_eq!(length(one) - empty, load.encoded_len());
        let indirect_ack = Some(IndirectAck { vm: member.vm.clone(), start: member.start });
        let document = Some(Head { revision: Revision(revision), digest: Digest([9; 32]) });
        let indirect_probe = Some(member.vm.clone());
        let full = Message {
            members: vec![member; 3], loads: vec![load; 3], document, probe: true, indirect_probe, indirect_ack,
        };
        let (weight, length) = (full.max_encoded_len(), length(full));
        prop_assert!(length <= weight && weight <= length + 8, "{} of {}", weight, length);
    }

    #[test]
    fn order_of_records_decides_nothing(mut records in prop::collection::vec((0u64..3, 0u64..3, 0usize..4), 1..12)) {
        let health = [Health::Alive, Health::Suspect, Health::Leaving, Health::Dead];
        let record = |&(start, version, index): &(u64, u64, usize)| Member {
            vm: "a".parse().unwrap(),
            data_centre: "b".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            start: StartNumber(start),
            version,
            health: health[index],
        };
        let merge = |records: &[(u64, u64, usize)]| {
            records.iter().map(record).reduce(|a, b| if b.replaces(&a) { b } else { a })
        };
        let forward = merge(&records);
        records.reverse();
        prop_assert_eq!(forward, merge(&records));
    }
}
