//! A connection to a backend stand-in: reads requests and sends the responses.

use std::sync::Arc;

use clock::{Boottime, Clock};
use smol::future::FutureExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use super::control;
use super::execution::Execution;
use super::listen::set_reset_on_close;
use super::request::{Reader, Request};
use super::response::{Framing, Response};
use super::state::State;

/// A connection, which handles its requests one at a time.
pub(super) struct Connection {
    stream: TcpStream,
    reader: Reader,
    state: Arc<State>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, state: Arc<State>) -> Self {
        // Without this option small responses may be delayed, which is harmless.
        let _ = stream.set_nodelay(true);
        let reader = Reader::new(stream.clone());
        Self {
            stream,
            reader,
            state,
        }
    }

    /// Responds to requests until the connection ends.
    pub(super) async fn run(mut self) {
        Boottime.sleep(self.state.config.connect_delay).await;
        while let Ok(Some(request)) = self.reader.next().await {
            let Some(mut response) = self.respond(&request).await else {
                return;
            };
            response.close |= request.wants_close();
            if !self.send(&request, &response).await {
                return;
            }
        }
    }

    /// Returns the response to `request`, or `None` if the caller has disconnected, or if a fault
    /// or crash prevents a response.
    async fn respond(&mut self, request: &Request) -> Option<Response> {
        if let Some(response) = control::respond(&self.state, request).await {
            return Some(response);
        }
        let execution = Execution::new(&self.state, request);
        let disconnected = async {
            self.reader.wait_closed().await;
            self.state.update_counts(|counts| counts.cancelled += 1);
            None
        };
        execution.run().or(disconnected).await
    }

    /// Sends `response` and returns whether the connection stays open.
    async fn send(&mut self, request: &Request, response: &Response) -> bool {
        let bytes = response.encode(request.method == "HEAD");
        let sent = self.stream.write_all(&bytes).await.is_ok();
        if response.framing == Framing::Reset {
            set_reset_on_close(&self.stream);
        }
        sent && !response.close
    }
}
