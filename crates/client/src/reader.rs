//! Reads message bodies.

use smol::io::AsyncReadExt;
use smol::net::TcpStream;

use crate::failure::Failure;
use crate::memory::Reservation;
use crate::{Error, Limits, Memory, Received};

const MAX_HEADERS: usize = 100;
const READ_BYTES: usize = 8 * 1024;

/// The number of reads after which other tasks run. A peer that always has bytes to read must not
/// keep the thread.
const READS_PER_TURN: u32 = 16;

/// Reads message bodies from a connection, with a buffer for bytes not parsed yet.
#[derive(Debug)]
pub struct Reader {
    /// The connection.
    pub stream: TcpStream,
    /// The bytes received but not parsed yet.
    pub buffer: Vec<u8>,
    memory: Option<Memory>,
    received: Received,
    reads: u32,
    /// What writes to the connection have met.
    pub(crate) failure: Failure,
}

impl Reader {
    /// Creates a reader of `stream` with an empty buffer.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            memory: None,
            received: Received::default(),
            reads: 0,
            failure: Failure::default(),
        }
    }

    /// Counts bodies against `memory` while they are received.
    #[must_use]
    pub fn with_memory(self, memory: Memory) -> Self {
        Self {
            memory: Some(memory),
            ..self
        }
    }

    /// Counts the bytes that arrive from now on in `received`.
    pub fn count_in(&mut self, received: Received) {
        self.received = received;
    }

    /// Reads more bytes into the buffer. Returns `false` if the other side has closed the
    /// connection.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`], also if a write has met the failure of the connection before.
    pub async fn fill(&mut self) -> Result<bool, Error> {
        self.reads = self.reads.wrapping_add(1);
        if self.reads.is_multiple_of(READS_PER_TURN) {
            smol::future::yield_now().await;
        }
        let start = self.buffer.len();
        self.buffer.resize(start + READ_BYTES, 0);
        let read = self.stream.read(&mut self.buffer[start..]).await;
        let received = *read.as_ref().unwrap_or(&0);
        self.buffer.truncate(start + received);
        self.received.add(received);
        match (read.map_err(Error::Broken)?, self.failure.error()) {
            (0, Some(error)) => Err(Error::Broken(error)),
            (received, _) => Ok(received > 0),
        }
    }

    /// Reads and discards bytes until the other side closes the connection or it breaks.
    pub async fn discard(&mut self) {
        self.buffer.clear();
        while matches!(self.fill().await, Ok(true)) {
            self.buffer.clear();
        }
    }

    /// Reads a body that ends when the other side closes the connection without an error.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`], [`Error::TooLarge`] and [`Error::OutOfMemory`].
    pub async fn read_to_close(&mut self, limits: Limits) -> Result<Vec<u8>, Error> {
        let memory = self.memory.clone();
        let mut reservation = Reservation::new(memory.as_ref());
        while self.fill().await? {
            reservation.grow_to(self.buffer.capacity())?;
            if self.buffer.len() > limits.max_body_bytes {
                return Err(Error::TooLarge {
                    limit: limits.max_body_bytes,
                });
            }
        }
        Ok(std::mem::take(&mut self.buffer))
    }

    /// Reads a body of `length` bytes.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`], [`Error::Truncated`] and [`Error::OutOfMemory`].
    pub async fn read_exact(&mut self, length: usize) -> Result<Vec<u8>, Error> {
        let memory = self.memory.clone();
        let mut reservation = Reservation::new(memory.as_ref());
        self.read_part(length, &Vec::new(), &mut reservation).await
    }

    /// Returns the capacity of the buffer with which more of a part of `length` bytes is read. It doubles,
    /// so that little is copied, but not beyond the part and one more read.
    fn next_capacity(&self, length: usize) -> usize {
        let needed = self.buffer.len() + READ_BYTES;
        if needed <= self.buffer.capacity() {
            return self.buffer.capacity();
        }
        let doubled = self.buffer.capacity().saturating_mul(2);
        doubled.min(length.saturating_add(READ_BYTES)).max(needed)
    }

    /// Reads `length` bytes of a body of which `before` has already been read.
    async fn read_part(
        &mut self,
        length: usize,
        before: &Vec<u8>,
        reservation: &mut Reservation,
    ) -> Result<Vec<u8>, Error> {
        while self.buffer.len() < length {
            let capacity = self.next_capacity(length);
            reservation.grow_to(before.capacity().saturating_add(capacity))?;
            self.buffer.reserve_exact(capacity - self.buffer.len());
            if !self.fill().await? {
                return Err(Error::Truncated {
                    received: before.len() + self.buffer.len(),
                });
            }
        }
        let rest = self.buffer.split_off(length);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Reads a chunked body and discards its trailers.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`], [`Error::Truncated`], [`Error::Malformed`], [`Error::TooLarge`] and
    /// [`Error::OutOfMemory`].
    pub async fn read_chunks(&mut self, limits: Limits) -> Result<Vec<u8>, Error> {
        let memory = self.memory.clone();
        let mut reservation = Reservation::new(memory.as_ref());
        let mut body = Vec::new();
        loop {
            let size = self.read_chunk_size(body.len()).await?;
            if size == 0 {
                self.read_trailers(limits, body.len()).await?;
                return Ok(body);
            }
            if body.len().saturating_add(size) > limits.max_body_bytes {
                return Err(Error::TooLarge {
                    limit: limits.max_body_bytes,
                });
            }
            let chunk = self.read_part(size, &body, &mut reservation).await?;
            body.extend(chunk);
            reservation.grow_to(body.capacity())?;
            if self.read_part(2, &body, &mut reservation).await? != b"\r\n" {
                return Err(Error::Malformed);
            }
        }
    }

    async fn read_chunk_size(&mut self, received: usize) -> Result<usize, Error> {
        const MAX_LINE_BYTES: usize = 1024;
        loop {
            // `httparse` takes a line without a digit for the last chunk, so a truncated body would
            // be accepted as complete.
            if self.buffer.first().is_some_and(|b| !b.is_ascii_hexdigit()) {
                return Err(Error::Malformed);
            }
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((length, size))) => {
                    self.buffer.drain(..length);
                    return usize::try_from(size).map_err(|_| Error::Malformed);
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_LINE_BYTES => {}
                _ => return Err(Error::Malformed),
            }
            if !self.fill().await? {
                return Err(Error::Truncated { received });
            }
        }
    }

    /// Reads the trailers after the last chunk and discards them.
    async fn read_trailers(&mut self, limits: Limits, received: usize) -> Result<(), Error> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            match httparse::parse_headers(&self.buffer, &mut headers) {
                Ok(httparse::Status::Complete((length, _))) => {
                    self.buffer.drain(..length);
                    return Ok(());
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= limits.max_head_bytes => {}
                _ => return Err(Error::Malformed),
            }
            if !self.fill().await? {
                return Err(Error::Truncated { received });
            }
        }
    }
}
