//! One connection of a backend stand-in.

use std::sync::Arc;

use clock::{Boottime, Clock};
use smol::future::FutureExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use super::control;
use super::listen::reset;
use super::request::{Reader, Request};
use super::response::{Response, Shape};
use super::state::State;
use super::work::Work;

/// One connection, which answers one request after the other.
pub(super) struct Connection {
    stream: TcpStream,
    reader: Reader,
    state: Arc<State>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, state: Arc<State>) -> Self {
        // Without the option small answers may be delayed, nothing worse.
        let _ = stream.set_nodelay(true);
        let reader = Reader::new(stream.clone());
        Self {
            stream,
            reader,
            state,
        }
    }

    /// Answers requests until the connection ends.
    pub(super) async fn run(mut self) {
        Boottime.sleep(self.state.config.connect_delay).await;
        while let Ok(Some(request)) = self.reader.next().await {
            let Some(mut response) = self.answer(&request).await else {
                return;
            };
            response.close |= request.wants_close();
            if !self.send(&request, &response).await {
                return;
            }
        }
    }

    /// Returns the answer to `request`, or `None` where the caller has gone or gets none.
    async fn answer(&mut self, request: &Request) -> Option<Response> {
        if let Some(response) = control::answer(&self.state, request).await {
            return Some(response);
        }
        let work = Work::new(&self.state, request);
        let gone = async {
            self.reader.closed().await;
            self.state.count(|counts| counts.cancelled += 1);
            None
        };
        work.run().or(gone).await
    }

    /// Sends `response` and returns whether the connection goes on.
    async fn send(&mut self, request: &Request, response: &Response) -> bool {
        let bytes = response.encode(request.method == "HEAD");
        let sent = self.stream.write_all(&bytes).await.is_ok();
        if response.shape == Shape::Reset {
            reset(&self.stream);
        }
        sent && !response.close
    }
}
