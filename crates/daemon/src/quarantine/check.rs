use comfreymast_base::Model;
use comfreymast_decide::quarantine::{Fingerprint, QuarantineStatus};
use comfreymast_net::sleep_ms;
use sha2::{Digest, Sha256};

use crate::callers::CallError;
use crate::daemon::Daemon;

const SUSPECTED_RETRY_MS: u64 = 1_000;
const SETTLE_POLL_MS: u64 = 50;

/// Names a request without its text.
pub(crate) fn fingerprint(model: &Model, prompt: &str) -> Fingerprint {
    let mut hasher = Sha256::new();
    hasher.update(model.as_str().as_bytes());
    // A model's name holds no line feed.
    hasher.update(b"\n");
    hasher.update(prompt.as_bytes());
    hasher.finalize().into()
}

/// Refuses a request that kills engines, and for a moment one that may.
pub(crate) fn check(daemon: &Daemon, model: &Model, prompt: &str) -> Result<(), CallError> {
    if daemon.quarantine.is_quiet() && daemon.ledger.quarantines().is_empty() {
        return Ok(());
    }
    match standing(daemon, &fingerprint(model, prompt)) {
        QuarantineStatus::Clear | QuarantineStatus::Suspect => Ok(()),
        QuarantineStatus::Pending => {
            Err(CallError::Suspected { retry_after_ms: SUSPECTED_RETRY_MS })
        }
        QuarantineStatus::Quarantined => Err(CallError::Quarantined),
    }
}

/// Waits until it is clear whether a running request may go to another engine.
pub(crate) async fn settle(daemon: &Daemon, model: &Model, prompt: &str) -> Result<(), CallError> {
    loop {
        match check(daemon, model, prompt) {
            Err(CallError::Suspected { .. }) => sleep_ms(SETTLE_POLL_MS).await,
            checked => return checked,
        }
    }
}

fn standing(daemon: &Daemon, fingerprint: &Fingerprint) -> QuarantineStatus {
    if daemon.ledger.quarantines().get(fingerprint).is_some() {
        return QuarantineStatus::Quarantined;
    }
    daemon.quarantine.standing(fingerprint, daemon.clock.now_ms())
}
