use comfreymast_base::Model;
use comfreymast_decide::quarantine::{Fingerprint, QuarantineStatus};
use comfreymast_net::sleep_ms;
use sha2::{Digest, Sha256};

use crate::callers::CallError;
use crate::daemon::Daemon;

const SUSPECTED_RETRY_MS: u64 = 1_000;
const DECISION_POLL_MS: u64 = 50;

/// Hashes a request, to identify it without its text.
pub(crate) fn fingerprint(model: &Model, prompt: &str) -> Fingerprint {
    let mut hasher = Sha256::new();
    hasher.update(model.as_str().as_bytes());
    // A line feed is an unambiguous separator: no model name contains one.
    hasher.update(b"\n");
    hasher.update(prompt.as_bytes());
    hasher.finalize().into()
}

/// Refuses a quarantined request, and temporarily one whose suspicion is not decided yet.
pub(crate) fn check(daemon: &Daemon, model: &Model, prompt: &str) -> Result<(), CallError> {
    if daemon.quarantine.has_no_suspects() && daemon.ledger.quarantines().is_empty() {
        return Ok(());
    }
    match status(daemon, &fingerprint(model, prompt)) {
        QuarantineStatus::Clear | QuarantineStatus::Suspect => Ok(()),
        QuarantineStatus::Pending => {
            Err(CallError::Suspected { retry_after_ms: SUSPECTED_RETRY_MS })
        }
        QuarantineStatus::Quarantined => Err(CallError::Quarantined),
    }
}

/// Waits until it is decided whether a running request may be moved to another engine.
pub(crate) async fn wait_until_decided(
    daemon: &Daemon,
    model: &Model,
    prompt: &str,
) -> Result<(), CallError> {
    loop {
        match check(daemon, model, prompt) {
            Err(CallError::Suspected { .. }) => sleep_ms(DECISION_POLL_MS).await,
            checked => return checked,
        }
    }
}

fn status(daemon: &Daemon, fingerprint: &Fingerprint) -> QuarantineStatus {
    if daemon.ledger.quarantines().get(fingerprint).is_some() {
        return QuarantineStatus::Quarantined;
    }
    daemon.quarantine.status(fingerprint, daemon.clock.now_ms())
}
