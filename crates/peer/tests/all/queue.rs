//! Tests of the send queue for one peer.

use briarshift_peer::{Class, Kind, Queue, QueuedFrame};
use briarshift_units::{Moment, Span};
use briarshift_wire::Frame;

use crate::fixture::{large_message, small_message};

fn queued(kind: Kind, queued_at: Moment) -> QueuedFrame {
    let message = if kind == Kind::Document { large_message(10) } else { small_message() };
    QueuedFrame { kind, frame: Frame::encode(&message).unwrap(), queued_at }
}

#[test]
fn full_queue_drops_the_oldest_of_the_class() {
    let mut queue = Queue::new(2);
    assert_eq!(queue.push(queued(Kind::Gossip, Moment(1))), None);
    assert_eq!(queue.push(queued(Kind::Document, Moment(2))), None);
    assert_eq!(queue.push(queued(Kind::Gossip, Moment(3))), None);
    assert_eq!(queue.push(queued(Kind::Gossip, Moment(4))).unwrap().queued_at, Moment(1));
    assert_eq!(queue.pop(Class::Gossip).unwrap().queued_at, Moment(3));
    assert_eq!(queue.pop(Class::Document).unwrap().queued_at, Moment(2));
}

#[test]
fn stale_gossip_is_dropped_and_documents_are_kept() {
    let mut queue = Queue::new(4);
    queue.push(queued(Kind::Gossip, Moment(0)));
    queue.push(queued(Kind::Document, Moment(0)));
    assert_eq!(queue.drop_expired(Moment(0) + Span::from_secs(3)), 1);
    assert!(queue.front(Class::Gossip).is_none());
    assert!(queue.front(Class::Document).is_some());
}

#[test]
fn queued_frames_are_joined_into_one() {
    let mut queue = Queue::new(8);
    for at in 0..3 {
        queue.push(queued(Kind::Gossip, Moment(at)));
    }
    let batch = queue.next_batch(Class::Gossip).unwrap();
    assert_eq!(batch.frames, 3);
    let joined = queue.pop_batch(Class::Gossip, batch).unwrap();
    assert!(queue.is_empty());
    assert_eq!(Frame::decode_all(joined.frame.as_bytes()).unwrap(), vec![small_message(); 3]);
}
