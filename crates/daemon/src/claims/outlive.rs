use crate::callers::CallError;
use crate::daemon::Daemon;

/// Does claimed work that goes on when its caller hangs up, so that the caller's next attempt
/// finds the answer.
pub(crate) async fn outlive_caller<T: Send + 'static>(
    daemon: &Daemon,
    work: impl Future<Output = Result<T, CallError>> + Send + 'static,
) -> Result<T, CallError> {
    let (sender, receiver) = async_channel::bounded(1);
    daemon.spawner.detach(async move {
        let _ = sender.try_send(work.await);
    });
    receiver.recv().await.unwrap_or(Err(CallError::OutcomeUnknown))
}
