//! Servers whose heads have names of fields that are none.

use crate::cases;
use crate::responses::check_response;
use crate::script::Action;

/// Checks that a response with `line` among its fields does not reach a caller: a request that may
/// run twice gets the response of another server, others 502, as they may have run.
fn check(line: &str) {
    let lines = [
        format!("{line}\r\nContent-Length: 4\r\n"),
        format!("Content-Length: 4\r\n{line}\r\n"),
    ];
    for lines in lines {
        let bytes =
            format!("HTTP/1.1 200 OK\r\nId: {{id}}\r\nSigned: yes\r\n{lines}\r\npond").leak();
        check_response("/once/1", Action::Respond(bytes), 502, 1);
        check_response("/once/1", Action::RespondAndClose(bytes), 502, 1);
        check_response("/safe/1", Action::Respond(bytes), 200, 2);
    }
}

cases! {
    blank_within_a_name => check("X Pond: 1");
    blank_before_the_colon => check("X-Pond : 1");
    blank_before_the_colon_of_the_length => check("Content-Length : 9");
    tab_within_a_name => check("X\tPond: 1");
    null_within_a_name => check("X\0Pond: 1");
    delete_within_a_name => check("X\x7fPond: 1");
    carriage_return_before_a_name => check("\rX-Pond: 1");
    line_feed_before_a_name => check("\nX-Pond: 1");
    folded_line => check("X-Pond: 1\r\n 2");
}
