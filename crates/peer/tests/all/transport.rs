//! Tests that exchange messages between endpoints on the loopback interface.

use briarshift_peer::{DropReason, Error, Kind, QuicTransport, Transport};
use briarshift_wire::Message;

use crate::fixture::{
    any_loopback_port, authority, bind_transport, block_on, config, large_message, receive,
    small_message, vm, wait_until,
};

fn check_carries(message: Message) {
    block_on(async move {
        let authority = authority("linen");
        let (a, _) = bind_transport(&authority, "aarau-1");
        let (b, mut received) = bind_transport(&authority, "olten-1");
        a.send(&vm("olten-1"), b.address(), message.clone());
        let got = receive(&mut received).await;
        assert_eq!((got.from, &got.message), (vm("aarau-1"), &message));
        let sent = a.monitor().snapshot().sent(Kind::of(&message));
        assert_eq!((sent.frames, sent.bytes), (1, got.frame_bytes as u64));
        assert_eq!(b.monitor().snapshot().received(Kind::of(&message)), sent);
    });
}

#[test]
fn small_message_arrives_with_its_authenticated_sender() {
    check_carries(small_message());
}

#[test]
fn document_of_a_megabyte_arrives_whole() {
    check_carries(large_message(1_048_576));
}

#[test]
fn connection_is_kept_and_serves_both_ways() {
    block_on(async {
        let authority = authority("linen");
        let (a, mut at_a) = bind_transport(&authority, "aarau-1");
        let (b, mut at_b) = bind_transport(&authority, "olten-1");
        for _ in 0..3 {
            a.send(&vm("olten-1"), b.address(), small_message());
            receive(&mut at_b).await;
            b.send(&vm("aarau-1"), a.address(), small_message());
            receive(&mut at_a).await;
        }
        assert_eq!(a.monitor().snapshot().handshakes, 1);
        assert_eq!(b.monitor().snapshot().handshakes, 1);
    });
}

#[test]
fn restarted_peer_is_reached_again() {
    block_on(async {
        let authority = authority("linen");
        let (a, _at_a) = bind_transport(&authority, "aarau-1");
        let (b, mut at_b) = bind_transport(&authority, "olten-1");
        let address = b.address();
        a.send(&vm("olten-1"), address, small_message());
        receive(&mut at_b).await;
        Box::new(b).close();
        drop(at_b);
        wait_until(&a, |a| a.connections == 0).await;
        let (_b, mut at_b) = rebind(&authority, address).await;
        let sent = async {
            loop {
                a.send(&vm("olten-1"), address, small_message());
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        };
        tokio::select! {
            got = receive(&mut at_b) => assert_eq!(got.from, vm("aarau-1")),
            () = sent => {}
        }
    });
}

async fn rebind(
    authority: &briarshift_peer::keys::Authority,
    address: std::net::SocketAddr,
) -> (QuicTransport, tokio::sync::mpsc::Receiver<briarshift_peer::Received>) {
    loop {
        match QuicTransport::bind(config(authority, "linen", "olten-1", address).build()) {
            Ok(bound) => return bound,
            Err(Error::Bind { .. }) => {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
            Err(err) => panic!("{err}"),
        }
    }
}

#[test]
fn unreachable_peer_loses_the_oldest_frames_and_is_counted() {
    block_on(async {
        let authority = authority("linen");
        let socket = std::net::UdpSocket::bind(any_loopback_port()).unwrap();
        let address = socket.local_addr().unwrap();
        let builder =
            config(&authority, "linen", "aarau-1", any_loopback_port()).max_queued_frames(4);
        let (a, _) = QuicTransport::bind(builder.build()).unwrap();
        for _ in 0..10 {
            a.send(&vm("olten-1"), address, small_message());
        }
        assert_eq!(a.monitor().snapshot().dropped(DropReason::QueueFull), 6);
        let counters = wait_until(&a, |a| a.dropped(DropReason::Expired) == 4).await;
        assert_eq!(counters.sent(Kind::Gossip).frames, 0);
        assert_ne!(counters.failed_connects, 0);
    });
}

#[test]
fn oversized_message_is_not_sent() {
    block_on(async {
        let authority = authority("linen");
        let (a, _) = bind_transport(&authority, "aarau-1");
        a.send(&vm("olten-1"), any_loopback_port(), large_message(2_000_000));
        assert_eq!(a.monitor().snapshot().dropped(DropReason::Oversized), 1);
    });
}
