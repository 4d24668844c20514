use crate::callers::CallError;
use crate::daemon::Daemon;

/// Runs claimed work in a task of its own, so that it completes even if its caller disconnects and
/// the caller's next attempt finds the answer.
pub(crate) async fn run_detached<T: Send + 'static>(
    daemon: &Daemon,
    work: impl Future<Output = Result<T, CallError>> + Send + 'static,
) -> Result<T, CallError> {
    let (sender, receiver) = async_channel::bounded(1);
    daemon.spawner.detach(async move {
        let _ = sender.try_send(work.await);
    });
    receiver.recv().await.unwrap_or(Err(CallError::OutcomeUnknown))
}
