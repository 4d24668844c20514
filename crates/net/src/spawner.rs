use std::future::Future;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_executor::{Executor, Task};
use futures_lite::future;

/// Spawns tasks on the executor that [`Spawner::run`] drives.
#[derive(Clone, Debug)]
pub struct Spawner {
    executor: Arc<Executor<'static>>,
}

impl Spawner {
    /// Runs `main` and all tasks it spawns on `threads` threads; returns the result of `main`.
    pub fn run<T, F: Future<Output = T>>(threads: usize, main: impl FnOnce(Self) -> F) -> T {
        let spawner = Self { executor: Arc::new(Executor::new()) };
        let (stop, stopped) = async_channel::bounded::<()>(1);
        thread::scope(|scope| {
            for _ in 1..threads.max(1) {
                let executor = spawner.executor.clone();
                let stopped = stopped.clone();
                // The thread exits when the channel closes.
                scope.spawn(move || async_io::block_on(executor.run(stopped.recv())).is_ok());
            }
            let main = main(spawner.clone());
            let value = async_io::block_on(spawner.executor.run(main));
            drop(stop);
            value
        })
    }

    /// Spawns a task; dropping the returned [`Task`] cancels it.
    pub fn spawn<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(task)
    }

    /// Spawns a detached task, which runs to completion.
    pub fn detach(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(task).detach();
    }

    pub(crate) fn executor(&self) -> Arc<Executor<'static>> {
        self.executor.clone()
    }
}

/// Waits for `duration_ms`.
pub async fn sleep_ms(duration_ms: u64) {
    async_io::Timer::after(Duration::from_millis(duration_ms)).await;
    future::yield_now().await;
}
