//! Frames that are sealed, opened and tampered with.

use wire::{Fault, Frame, Key, Message, Reply, MAX_FRAME_BYTES};

fn key(byte: u8) -> Key {
    Key::new(&[byte; 16]).unwrap()
}

fn opens_as(bytes: &[u8], expected: &Fault) {
    assert_eq!(&Frame::open_request(&key(1), bytes).unwrap_err(), expected);
}

fn sealed() -> Vec<u8> {
    let frame = Frame::request(&key(1), &Message::GetRoster).unwrap();
    frame.into_bytes()
}

#[test]
fn any_part_makes_the_round_trip() {
    arbtest::arbtest(|u| {
        let reply = Reply::Part(u.arbitrary()?);
        let frame = Frame::reply(&key(1), &reply).unwrap();
        assert_eq!(Frame::open_reply(&key(1), frame.as_bytes()), Ok(reply));
        Ok(())
    });
}

#[test]
fn any_bytes_are_refused() {
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        assert!(Frame::open_request(&key(1), &bytes).is_err());
        assert!(Frame::open_reply(&key(1), &bytes).is_err());
        Ok(())
    });
}

#[test]
fn any_changed_bit_is_refused() {
    for bit in 0..sealed().len() * 8 {
        let mut bytes = sealed();
        bytes[bit / 8] ^= 1 << (bit % 8);
        match bit {
            0..8 => opens_as(&bytes, &Fault::Version { version: bytes[0] }),
            _ => opens_as(&bytes, &Fault::Tag),
        }
    }
}

#[test]
fn a_request_is_no_reply() {
    let opened = Frame::open_reply(&key(1), &sealed());
    assert_eq!(opened, Err(Fault::Tag));
}

#[test]
fn another_key_does_not_open() {
    let opened = Frame::open_request(&key(2), &sealed());
    assert_eq!(opened, Err(Fault::Tag));
}

#[test]
fn sizes_are_bounded() {
    let size = MAX_FRAME_BYTES + 1;
    let limit = MAX_FRAME_BYTES;
    opens_as(&vec![1; size], &Fault::TooLarge { size, limit });
    opens_as(&[1; 32], &Fault::TooShort { size: 32 });
    let part = Reply::Part(Some(vec![0; MAX_FRAME_BYTES]));
    let refused = Frame::reply(&key(1), &part);
    assert!(matches!(refused, Err(Fault::TooLarge { .. })));
}

#[test]
fn a_weak_key_is_refused() {
    let refused = Key::new(&[1; 15]).unwrap_err();
    assert_eq!(refused, Fault::WeakKey { min_bytes: 16 });
}
