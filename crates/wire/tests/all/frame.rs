//! Tests that frames are sealed and opened, and refused if they were modified.

use wire::{Fault, Frame, Key, Message, Reply, MAX_FRAME_BYTES};

fn key(byte: u8) -> Key {
    Key::new(&[byte; 16]).unwrap()
}

fn assert_refused(bytes: &[u8], expected: &Fault) {
    assert_eq!(&Frame::open_request(&key(1), bytes).unwrap_err(), expected);
}

fn sealed_request() -> Vec<u8> {
    let frame = Frame::request(&key(1), &Message::GetRoster).unwrap();
    frame.into_bytes()
}

#[test]
fn any_part_survives_a_round_trip() {
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
fn any_flipped_bit_is_refused() {
    for bit in 0..sealed_request().len() * 8 {
        let mut bytes = sealed_request();
        bytes[bit / 8] ^= 1 << (bit % 8);
        match bit {
            0..8 => assert_refused(&bytes, &Fault::Version { version: bytes[0] }),
            _ => assert_refused(&bytes, &Fault::Tag),
        }
    }
}

#[test]
fn a_request_does_not_open_as_a_reply() {
    let opened = Frame::open_reply(&key(1), &sealed_request());
    assert_eq!(opened, Err(Fault::Tag));
}

#[test]
fn another_key_does_not_open_a_frame() {
    let opened = Frame::open_request(&key(2), &sealed_request());
    assert_eq!(opened, Err(Fault::Tag));
}

#[test]
fn sizes_are_bounded() {
    let size = MAX_FRAME_BYTES + 1;
    let limit = MAX_FRAME_BYTES;
    assert_refused(&vec![1; size], &Fault::TooLarge { size, limit });
    assert_refused(&[1; 32], &Fault::TooShort { size: 32 });
    let part = Reply::Part(Some(vec![0; MAX_FRAME_BYTES]));
    let refused = Frame::reply(&key(1), &part);
    assert!(matches!(refused, Err(Fault::TooLarge { .. })));
}

#[test]
fn a_short_key_is_refused() {
    let refused = Key::new(&[1; 15]).unwrap_err();
    assert_eq!(refused, Fault::WeakKey { min_bytes: 16 });
}
