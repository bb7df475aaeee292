//! Minimal HTTP/1.1 client connection (RFC 9112).

use std::io;
use std::net::SocketAddr;

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use crate::response::{parse_head, Failure, Framing, Response};

/// Limit on the size of a response head; a longer one counts as malformed.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Buffer size of one read from the socket.
const READ_BYTES: usize = 16 * 1024;

/// A connection that carries one call at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, Failure> {
        let connected = TcpStream::connect(address).await;
        let stream = connected.map_err(|_| Failure::Connect)?;
        stream.set_nodelay(true).map_err(|_| Failure::Connect)?;
        let buffer = Vec::new();
        Ok(Self { stream, buffer })
    }

    /// Sends `request` and reads the complete response, skipping interim (1xx) responses.
    pub(crate) async fn call(&mut self, request: &[u8]) -> Result<Response, Failure> {
        let sent = self.stream.write_all(request).await;
        sent.map_err(|_| Failure::Closed)?;
        loop {
            let (mut response, framing) = self.read_head().await?;
            if (100..200).contains(&response.status) {
                continue;
            }
            response.body = self.read_body(framing).await?;
            // Bytes after the response belong to no call, so the connection must not be reused.
            response.is_reusable &= self.buffer.is_empty() && framing != Framing::CloseDelimited;
            return Ok(response);
        }
    }

    async fn read_head(&mut self) -> Result<(Response, Framing), Failure> {
        loop {
            if let Some(start) = find(&self.buffer, b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..start + 4).collect();
                return parse_head(&head).ok_or(Failure::Malformed);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(Failure::Malformed);
            }
            let is_before_response = self.buffer.is_empty();
            match self.fill().await {
                Ok(1..) => {}
                _ if is_before_response => return Err(Failure::Closed),
                _ => return Err(Failure::Truncated),
            }
        }
    }

    async fn read_body(&mut self, framing: Framing) -> Result<Vec<u8>, Failure> {
        match framing {
            Framing::Length(length) => self.read_exact(length).await,
            Framing::Chunked => self.read_chunks().await,
            Framing::CloseDelimited => self.read_to_end().await,
        }
    }

    async fn read_to_end(&mut self) -> Result<Vec<u8>, Failure> {
        loop {
            match self.fill().await {
                Ok(0) => return Ok(std::mem::take(&mut self.buffer)),
                Ok(_) => {}
                Err(_) => return Err(Failure::Truncated),
            }
        }
    }

    async fn read_chunks(&mut self) -> Result<Vec<u8>, Failure> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line().await?;
            let size = line.split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size.trim(), 16);
            let size = size.map_err(|_| Failure::Malformed)?;
            if size == 0 {
                while !self.read_line().await?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_exact(size).await?);
            if !self.read_line().await?.is_empty() {
                return Err(Failure::Malformed);
            }
        }
    }

    async fn read_line(&mut self) -> Result<String, Failure> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                let line = String::from_utf8(line[..end].to_vec());
                return line.map_err(|_| Failure::Malformed);
            }
            self.fill_or_truncated().await?;
        }
    }

    async fn read_exact(&mut self, length: usize) -> Result<Vec<u8>, Failure> {
        while self.buffer.len() < length {
            self.fill_or_truncated().await?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn fill_or_truncated(&mut self) -> Result<(), Failure> {
        match self.fill().await {
            Ok(1..) => Ok(()),
            _ => Err(Failure::Truncated),
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; READ_BYTES];
        let count = self.stream.read(&mut bytes).await?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
