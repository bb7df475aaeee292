//! The operators' port of an instance.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use serde::de::DeserializeOwned;
use smol::future::{self, FutureExt};
use thiserror::Error;
use trillium_client::{Client, Conn, Status};
use trillium_smol::ClientConfig;

/// How long an instance may take to answer.
pub const TIME_LIMIT: Duration = Duration::from_secs(3);

/// The longest answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;

/// The operators' port of an instance.
#[derive(Clone, Debug)]
pub struct Port {
    client: Client,
    address: SocketAddr,
}

impl Port {
    /// Returns the port at `address`. Nothing is sent yet.
    pub fn open(address: SocketAddr) -> Self {
        let client = Client::new(ClientConfig::default());
        Self { client, address }
    }

    /// Returns the value that the port serves at `path` as JSON.
    pub async fn get<T>(&self, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let url = format!("http://{}{path}", self.address);
        let answer = async {
            // The HTTP library panics on a status code that it does not know.
            let sent = AssertUnwindSafe(async { self.client.get(url.as_str()).await });
            match sent.catch_unwind().await {
                Ok(conn) => self.read(conn).await,
                Err(_) => Err(self.fail(Cause::UnknownStatus)),
            }
        };
        let late = async {
            smol::Timer::after(TIME_LIMIT).await;
            Err(self.fail(Cause::Late))
        };
        future::or(answer, late).await
    }

    async fn read<T>(&self, conn: trillium_client::Result<Conn>) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let mut conn = conn.map_err(|error| self.fail(Cause::Http(error)))?;
        if conn.status() != Some(Status::Ok) {
            let status = conn.status().map_or(0, |status| status as u16);
            return Err(self.fail(Cause::Status(status)));
        }
        let body = conn.response_body().with_max_len(MAX_ANSWER_BYTES);
        let text = body.read_string().await;
        let text = text.map_err(|error| self.fail(Cause::Http(error)))?;
        serde_json::from_str(&text).map_err(|error| self.fail(Cause::Malformed(error)))
    }

    fn fail(&self, cause: Cause) -> Error {
        Error {
            address: self.address,
            cause,
        }
    }
}

/// Asks the ports at `addresses` for the value at `path`, all at once. Returns the answers in the
/// order of the addresses.
pub async fn get_all<T>(addresses: &[SocketAddr], path: &'static str) -> Vec<Result<T, Error>>
where
    T: DeserializeOwned + Send + 'static,
{
    let ask = |address: &SocketAddr| {
        let port = Port::open(*address);
        smol::spawn(async move { port.get(path).await })
    };
    let asked: Vec<smol::Task<Result<T, Error>>> = addresses.iter().map(ask).collect();
    let mut answers = Vec::new();
    for answer in asked {
        answers.push(answer.await);
    }
    answers
}

/// Why an instance gave no answer.
#[derive(Debug, Error)]
#[error("the instance at {address}: {cause}")]
pub struct Error {
    /// The address of the operators' port.
    pub address: SocketAddr,
    /// What happened.
    pub cause: Cause,
}

/// What kept an answer away.
#[derive(Debug, Error)]
pub enum Cause {
    /// The connection failed.
    #[error("{0}")]
    Http(trillium_client::Error),
    /// The answer did not come in time.
    #[error("no answer within {} s", TIME_LIMIT.as_secs())]
    Late,
    /// The instance refused.
    #[error("it answered with status {0}")]
    Status(u16),
    /// The answer has a status code that is none.
    #[error("it answered with an unknown status; is this the operators' port?")]
    UnknownStatus,
    /// The answer could not be understood.
    #[error("its answer is malformed: {0}")]
    Malformed(serde_json::Error),
}
