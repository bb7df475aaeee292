//! Whole instances that have the duty, and what they announce to each other.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use balance::duty::{Generation, Notice, Object};
use serde::Serialize;

use crate::site::Site;

/// Mirrors the messages that the tests send.
#[derive(Serialize)]
enum Message {
    /// The id, address and data centre of an instance that joins.
    Hello((u64, SocketAddr, &'static str)),
    Duty(Box<Notice>),
}

/// Returns the object without a holder.
fn unheld() -> Object {
    Object {
        holder: String::new(),
        generation: Generation::default(),
        released: false,
        reported: None,
        pending: None,
        fresh_from: 0,
        write: 0,
    }
}

fn holder(site: &Site) -> Object {
    site.store.duty().unwrap()
}

/// Starts an instance and waits until it has the duty.
fn open_holder() -> Site {
    let site = Site::open_reporting_fleet(unheld(), &["east"]).remove(0);
    site.wait_until(|site| !holder(site).holder.is_empty());
    site
}

/// Returns a socket that sends to the peers' port of `site`.
fn connect(site: &Site) -> UdpSocket {
    let socket = UdpSocket::bind((site.peers.ip(), 0)).unwrap();
    socket.connect(site.peers).unwrap();
    socket
        .set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    socket
}

fn send(socket: &UdpSocket, message: &Message) {
    socket.send(&rmp_serde::to_vec(message).unwrap()).unwrap();
}

/// Guards against instances that do not run the duty that their settings have.
#[test]
fn lost_holder_is_replaced_by_another_data_centre() {
    let mut sites = Site::open_reporting_fleet(unheld(), &["east", "west"]);
    sites[0].wait_until(|site| !holder(site).holder.is_empty());
    let first = holder(&sites[0]);
    let index = usize::from(first.holder == "test-west");
    drop(sites.remove(index));
    sites[0].wait_until(|site| holder(site).holder != first.holder);
    assert!(holder(&sites[0]).generation > first.generation);
}

/// Guards against a holder that other data centres do not hear.
#[test]
fn holder_is_announced_to_another_data_centre() {
    let site = open_holder();
    let socket = connect(&site);
    let hello = Message::Hello((9, socket.local_addr().unwrap(), "west"));
    site.wait_until(|_| {
        send(&socket, &hello);
        let mut bytes = [0; 2048];
        let length = socket.recv(&mut bytes).unwrap_or(0);
        bytes[..length].windows(4).any(|window| window == b"Duty")
    });
}

/// Guards against an instance that does not hear of another holder. One that does gives up, and takes
/// over again once it hears nothing any more.
#[test]
fn holder_that_hears_of_a_later_one_gives_up() {
    let site = open_holder();
    let first = holder(&site);
    let notice = Notice {
        holder: "other".to_owned(),
        generation: Generation::new(0, 1 << 20).unwrap(),
        lease_age: Duration::ZERO,
        released: false,
        reported: None,
        pending: None,
    };
    send(&connect(&site), &Message::Duty(Box::new(notice)));
    site.wait_until(|site| holder(site).generation > first.generation);
    assert_eq!(holder(&site).holder, first.holder);
}
