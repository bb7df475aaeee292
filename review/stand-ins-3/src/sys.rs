//! Calls of the C library that the standard library does not offer.

use std::sync::Mutex;
use std::thread;
use std::time::Duration;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

const RLIMIT_NOFILE: i32 = 7;

#[repr(C)]
struct Limit {
    soft: u64,
    hard: u64,
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn getrlimit(resource: i32, limit: *mut Limit) -> i32;
    fn setrlimit(resource: i32, limit: *const Limit) -> i32;
}

/// The processes that this run has started and not yet reaped.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn add_child(pid: u32) {
    CHILDREN.lock().unwrap().push(pid);
}

pub fn remove_child(pid: u32) {
    CHILDREN.lock().unwrap().retain(|child| *child != pid);
}

/// Sends a signal to a child that has not been reaped.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: the call takes no pointers.
    unsafe { kill(pid as i32, signal) };
}

/// Ends the run with status 2 after `limit`, and all processes that it started.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        eprintln!("the case did not end in time");
        let children = CHILDREN.lock().unwrap();
        children.iter().for_each(|pid| signal(*pid, SIGKILL));
        std::process::exit(2);
    });
}

/// Raises this process's own limit on descriptors to what it is allowed, at most `wanted`. Returns
/// the limit.
pub fn raise_descriptors(wanted: u64) -> u64 {
    let mut limit = Limit { soft: 0, hard: 0 };
    // SAFETY: the pointers are valid for the calls.
    unsafe {
        getrlimit(RLIMIT_NOFILE, &mut limit);
        if limit.soft < wanted {
            limit.soft = wanted.min(limit.hard);
            setrlimit(RLIMIT_NOFILE, &limit);
        }
    }
    limit.soft
}
