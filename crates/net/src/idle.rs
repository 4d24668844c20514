use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Timer;
use comfreymast_base::Clock;

use crate::Elapsed;

/// Bounds each of many short waits, such as those for the next token.
///
/// [`crate::within`] arms a timer for each wait, and each arming wakes the thread that watches the
/// timers. This one leaves its timer armed from wait to wait and looks at the clock when it fires.
#[derive(Debug)]
pub struct IdleLimit {
    clock: Clock,
    limit_ms: u64,
    timer: Option<Timer>,
}

impl IdleLimit {
    /// Waits may take `limit_ms` each.
    #[must_use]
    pub fn new(clock: &Clock, limit_ms: u64) -> Self {
        Self { clock: clock.clone(), limit_ms, timer: None }
    }

    /// Runs `work` for at most the limit, counted from this call.
    ///
    /// # Errors
    ///
    /// [`Elapsed`] when the time is over; `work` is dropped then.
    pub async fn within<T>(&mut self, work: impl Future<Output = T>) -> Result<T, Elapsed> {
        let began_ms = self.clock.now_ms();
        let mut work = pin!(work);
        poll_fn(|context| match work.as_mut().poll(context) {
            Poll::Ready(value) => Poll::Ready(Ok(value)),
            Poll::Pending => self.poll_elapsed(context, began_ms).map(Err),
        })
        .await
    }

    fn poll_elapsed(&mut self, context: &mut Context<'_>, began_ms: u64) -> Poll<Elapsed> {
        loop {
            let waited_ms = self.clock.now_ms().saturating_sub(began_ms);
            let left_ms = self.limit_ms.saturating_sub(waited_ms);
            let timer =
                self.timer.get_or_insert_with(|| Timer::after(Duration::from_millis(left_ms)));
            if Pin::new(timer).poll(context).is_pending() {
                return Poll::Pending;
            }
            // A timer that was armed for an earlier wait fires before this one is over.
            self.timer = None;
            if left_ms == 0 {
                return Poll::Ready(Elapsed { limit_ms: self.limit_ms });
            }
        }
    }
}
