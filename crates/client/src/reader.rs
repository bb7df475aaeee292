//! Reads message bodies.

use smol::io::AsyncReadExt;
use smol::net::TcpStream;

use crate::{Error, Limits};

const MAX_HEADERS: usize = 100;
const READ_BYTES: usize = 8 * 1024;

/// Reads message bodies from a connection, with a buffer for bytes not parsed yet.
#[derive(Debug)]
pub struct Reader {
    /// The connection.
    pub stream: TcpStream,
    /// The bytes received but not parsed yet.
    pub buffer: Vec<u8>,
}

impl Reader {
    /// Creates a reader of `stream` with an empty buffer.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes into the buffer. Returns `false` if the other side has closed the
    /// connection.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`].
    pub async fn fill(&mut self) -> Result<bool, Error> {
        let start = self.buffer.len();
        self.buffer.resize(start + READ_BYTES, 0);
        let read = self.stream.read(&mut self.buffer[start..]).await;
        self.buffer.truncate(start + *read.as_ref().unwrap_or(&0));
        read.map(|n| n > 0).map_err(Error::Broken)
    }

    /// Reads a body that ends when the other side closes the connection without an error.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] and [`Error::TooLarge`].
    pub async fn read_to_close(&mut self, limits: Limits) -> Result<Vec<u8>, Error> {
        while self.fill().await? {
            if self.buffer.len() > limits.max_body_bytes {
                return Err(Error::TooLarge {
                    limit: limits.max_body_bytes,
                });
            }
        }
        Ok(std::mem::take(&mut self.buffer))
    }

    /// Reads `length` bytes of a body of which `before` bytes have already been read.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] and [`Error::Truncated`].
    pub async fn read_exact(&mut self, length: usize, before: usize) -> Result<Vec<u8>, Error> {
        while self.buffer.len() < length {
            if !self.fill().await? {
                return Err(Error::Truncated {
                    received: before + self.buffer.len(),
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
    /// [`Error::Broken`], [`Error::Truncated`], [`Error::Malformed`] and [`Error::TooLarge`].
    pub async fn read_chunks(&mut self, limits: Limits) -> Result<Vec<u8>, Error> {
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
            let chunk = self.read_exact(size, body.len()).await?;
            body.extend(chunk);
            if self.read_exact(2, body.len()).await? != b"\r\n" {
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
