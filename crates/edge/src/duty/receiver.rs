//! The platform's receiver of reports.

use std::future::Future;
use std::time::Duration;

use balance::duty::Generation;
use balance::usage::Report;

use super::Error;

/// The platform's receiver of reports. A call may complete late, fail, or take effect without a
/// response.
pub trait Receiver: Send + Sync + 'static {
    /// Sends a report in the name of `holder`. The call ends within `limit`. If it ends otherwise than
    /// by a response, or is dropped, bytes that were not delivered yet are discarded.
    fn report(
        &self,
        report: &Report,
        holder: &str,
        generation: Generation,
        limit: Duration,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}
