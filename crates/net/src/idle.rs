use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Timer;
use comfreymast_base::Clock;

use crate::Elapsed;

/// A timeout for each of many short waits, such as those for the next token.
///
/// [`crate::within`] registers a timer for each wait, and each registration wakes the reactor
/// thread. This type keeps its timer registered across waits and checks the clock when it fires.
#[derive(Debug)]
pub struct IdleTimeout {
    clock: Clock,
    limit_ms: u64,
    timer: Option<Timer>,
}

impl IdleTimeout {
    /// Allows `limit_ms` for each wait.
    #[must_use]
    pub fn new(clock: &Clock, limit_ms: u64) -> Self {
        Self { clock: clock.clone(), limit_ms, timer: None }
    }

    /// Runs `work` for at most the time limit, counted from this call.
    ///
    /// # Errors
    ///
    /// [`Elapsed`] when the limit is reached; `work` is dropped.
    pub async fn within<T>(&mut self, work: impl Future<Output = T>) -> Result<T, Elapsed> {
        let started_ms = self.clock.now_ms();
        let mut work = pin!(work);
        poll_fn(|context| match work.as_mut().poll(context) {
            Poll::Ready(value) => Poll::Ready(Ok(value)),
            Poll::Pending => self.poll_elapsed(context, started_ms).map(Err),
        })
        .await
    }

    fn poll_elapsed(&mut self, context: &mut Context<'_>, started_ms: u64) -> Poll<Elapsed> {
        loop {
            let elapsed_ms = self.clock.now_ms().saturating_sub(started_ms);
            let remaining_ms = self.limit_ms.saturating_sub(elapsed_ms);
            let timer =
                self.timer.get_or_insert_with(|| Timer::after(Duration::from_millis(remaining_ms)));
            if Pin::new(timer).poll(context).is_pending() {
                return Poll::Pending;
            }
            // A timer registered for an earlier wait fires before the limit of this one.
            self.timer = None;
            if remaining_ms == 0 {
                return Poll::Ready(Elapsed { limit_ms: self.limit_ms });
            }
        }
    }
}
