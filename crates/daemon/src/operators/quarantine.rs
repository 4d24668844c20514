use comfreymast_base::hex;
use comfreymast_ledger::{Fingerprint, HASH_BYTES, QuarantineEntry};
use comfreymast_net::Body;
use hyper::{Response, StatusCode};

use super::QuarantineView;
use super::front::{error, reply, status};
use crate::daemon::Daemon;
use crate::quarantine::{DeclareError, declare};

/// `GET /quarantine`.
pub(super) fn list(daemon: &Daemon) -> Response<Body> {
    let quarantines = daemon.ledger.quarantines();
    let views: Vec<_> =
        quarantines.iter().map(|(fingerprint, entry)| view(fingerprint, entry)).collect();
    reply(StatusCode::OK, &views)
}

/// `DELETE /quarantine/{fingerprint}`.
pub(super) async fn lift(daemon: &Daemon, fingerprint: &str) -> Response<Body> {
    let Some(fingerprint) = hex::decode::<HASH_BYTES>(fingerprint) else {
        let message = "a fingerprint is 64 hexadecimal digits";
        return error(StatusCode::BAD_REQUEST, "bad_request", message);
    };
    if daemon.ledger.quarantines().get(&fingerprint).is_none() {
        let message = "no such request is quarantined";
        return error(StatusCode::NOT_FOUND, "not_quarantined", message);
    }
    match declare(daemon, fingerprint, None).await {
        Ok(()) => status(StatusCode::NO_CONTENT),
        Err(failure) => {
            let (status, code) = match failure {
                DeclareError::Log(_) => (StatusCode::SERVICE_UNAVAILABLE, "log_unavailable"),
                DeclareError::Unknown => (StatusCode::GATEWAY_TIMEOUT, "outcome_unknown"),
            };
            error(status, code, &failure.to_string())
        }
    }
}

fn view(fingerprint: &Fingerprint, entry: &QuarantineEntry) -> QuarantineView {
    QuarantineView {
        fingerprint: hex::encode(fingerprint),
        deaths: entry.deaths,
        daemon: entry.daemon.to_string(),
        declared_unix_ms: entry.declared_unix_ms,
    }
}
