//! Reads the bodies of messages.

use smol::io::AsyncReadExt;
use smol::net::TcpStream;

use crate::{Error, Limits};

const MAX_HEADERS: usize = 100;
const READ_SIZE: usize = 8 * 1024;

/// Reads the bodies of messages from a connection.
#[derive(Debug)]
pub struct Reader {
    /// The connection.
    pub stream: TcpStream,
    /// Bytes received and not yet parsed.
    pub buffer: Vec<u8>,
}

impl Reader {
    /// Returns a reader of `stream` that holds no bytes.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes, and returns whether there were any.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`].
    pub async fn fill(&mut self) -> Result<bool, Error> {
        let start = self.buffer.len();
        self.buffer.resize(start + READ_SIZE, 0);
        let read = self.stream.read(&mut self.buffer[start..]).await;
        self.buffer.truncate(start + *read.as_ref().unwrap_or(&0));
        read.map(|n| n > 0).map_err(Error::Broken)
    }

    /// Reads until the other side closes the connection in order.
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

    /// Reads `length` bytes that follow `before` bytes of the body.
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

    /// Reads a body in chunks and the trailers behind it, which are dropped.
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
        const MAX_LINE: usize = 1024;
        loop {
            // The parser takes a line without a digit for the last chunk, which would pass a cut
            // body on as a whole one.
            if self.buffer.first().is_some_and(|b| !b.is_ascii_hexdigit()) {
                return Err(Error::Malformed);
            }
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((length, size))) => {
                    self.buffer.drain(..length);
                    return usize::try_from(size).map_err(|_| Error::Malformed);
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_LINE => {}
                _ => return Err(Error::Malformed),
            }
            if !self.fill().await? {
                return Err(Error::Truncated { received });
            }
        }
    }

    /// Reads the trailers behind the last chunk and drops them.
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
