//! Frames of any bytes.

use briarshift_units::Revision;
use briarshift_wire::{Error, Frame, MAX_FRAME, Message, VERSION, document};
use proptest::prelude::*;

fn message() -> Message {
    Message::Document(document::Message::Request { revision: Revision(300) })
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..600), current in any::<bool>()) {
        if let Some(first) = bytes.first_mut().filter(|_| current) {
            *first = VERSION;
        }
        if let Ok(message) = Frame::decode(&bytes) {
            prop_assert!(Frame::encode(&message).is_ok());
        }
    }

    #[test]
    fn every_cut_frame_is_refused(cut in 1usize..4) {
        let frame = Frame::encode(&message()).unwrap();
        let bytes = frame.as_bytes();
        prop_assert_eq!(Frame::decode(&bytes[..bytes.len() - cut]).is_err(), true);
    }
}

#[test]
fn bytes_left_over_are_refused() {
    let mut bytes = Frame::encode(&message()).unwrap().as_bytes().to_vec();
    bytes.push(0);
    assert!(matches!(Frame::decode(&bytes), Err(Error::Malformed(_))));
}

#[test]
fn oversized_frame_is_refused_unread() {
    let bytes = vec![VERSION; MAX_FRAME + 1];
    assert_eq!(Frame::decode(&bytes), Err(Error::Oversized(MAX_FRAME + 1)));
}
