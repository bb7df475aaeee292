//! Reading instances over HTTP.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use cli::exit::Code;
use cli::{moves, status};
use contract::report::{State, Status};

use crate::workshop::{now, NOW};

/// Serves `body` with `status` to one call, and returns the address.
fn serve(status: &'static str, body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).unwrap();
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(body.as_bytes()).unwrap();
    });
    address
}

fn serve_report(name: &str) -> SocketAddr {
    serve(
        "200 OK",
        serde_json::to_string(&crate::status::report(name)).unwrap(),
    )
}

/// Returns an address at which nothing listens.
fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

fn ask(instances: Vec<SocketAddr>) -> Result<status::Overview, cli::Error> {
    smol::block_on(status::run(&status::Request { instances }))
}

#[test]
fn reports_are_read() {
    let overview = ask(vec![serve_report("one"), serve_report("two")]).unwrap();
    let names: Vec<&str> = overview
        .instances
        .iter()
        .map(|s| s.instance.as_str())
        .collect();
    assert_eq!(names, ["one", "two"]);
    assert_eq!(overview.attention, []);
}

#[test]
fn silent_instances_are_found() {
    let refusing = serve("503 Service Unavailable", String::new());
    let malformed = serve("200 OK", "{".into());
    let unheard_of = serve("799 Unheard Of", String::new());
    let short = serve("200 OK\r\nContent-Length: 9999", "{}".into());
    let others = [refusing, malformed, nobody(), unheard_of, short];
    let instances = [serve_report("one")].into_iter().chain(others);
    let overview = ask(instances.collect()).unwrap();
    let codes: Vec<&str> = overview.attention.iter().map(|f| f.code()).collect();
    assert_eq!(codes, ["silent"; 5]);
}

#[test]
fn a_hanging_instance_is_given_up() {
    // Connections wait in the listener's queue and are never answered.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let hanging = listener.local_addr().unwrap();
    let overview = ask(vec![hanging, serve_report("one")]).unwrap();
    let printed = overview.attention[0].to_string();
    assert!(printed.ends_with("no answer within 3 s"), "{printed}");
}

#[test]
fn no_answer_at_all_is_an_error() {
    let error = ask(vec![nobody()]).unwrap_err();
    assert_eq!(error.exit(), Code::Unreachable);
    assert_eq!(ask(Vec::new()).unwrap_err().exit(), Code::Usage);
}

#[test]
fn moves_are_read() {
    let reported = [crate::moves::movement(State::Canary, NOW + 60)];
    let address = serve("200 OK", serde_json::to_string(&reported).unwrap());
    let request = moves::Request {
        instances: vec![address, nobody()],
        evidence: false,
    };
    let overview = smol::block_on(moves::run(&request, now())).unwrap();
    assert_eq!(overview.moves[0].movement, reported[0]);
    assert_eq!(overview.silent.len(), 1);
}

#[test]
fn reports_keep_their_form() {
    let json = serde_json::to_value(crate::status::report("one")).unwrap();
    assert_eq!(json["members"][0]["last-heard-ms"], 200);
    assert_eq!(json["store-reachable"], true);
    assert_eq!(json["pools"][0]["servers"][0]["allowance"], 4);
    let read: Status = serde_json::from_value(json).unwrap();
    assert_eq!(read, crate::status::report("one"));
}
