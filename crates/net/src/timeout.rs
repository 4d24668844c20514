use std::future::Future;

use derive_more::{Display, Error};
use futures_lite::future;

use crate::sleep_ms;

/// A future did not complete within its time limit.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no answer within {limit_ms} ms")]
pub struct Elapsed {
    /// The time limit.
    pub limit_ms: u64,
}

/// Runs `work` for at most `limit_ms`.
///
/// # Errors
///
/// [`Elapsed`] when the limit is reached; `work` is dropped.
pub async fn within<T>(limit_ms: u64, work: impl Future<Output = T>) -> Result<T, Elapsed> {
    future::or(async { Ok(work.await) }, async {
        sleep_ms(limit_ms).await;
        Err(Elapsed { limit_ms })
    })
    .await
}
