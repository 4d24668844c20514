use std::sync::Arc;

use comfreymast_base::hex;
use comfreymast_ledger::{Applied, Skip};
use comfreymast_net::sleep_ms;
use comfreymast_wire::log::ReadReply;

use crate::daemon::Daemon;
use crate::events;

const READ_MAX_RECORDS: u32 = 4_096;
const READ_WAIT_MS: u64 = 1_000;
const RETRY_PAUSE_MS: u64 = 100;

/// Follows the log and puts each record in force, until the daemon ends.
pub(crate) async fn follow(daemon: Arc<Daemon>) {
    let mut available = true;
    loop {
        let from = daemon.ledger.next_offset();
        match daemon.log.read(from, READ_MAX_RECORDS, READ_WAIT_MS).await {
            Ok(reply) => {
                if !available {
                    events::LOG_RESTORED.log(format_args!("reading from offset {from}"));
                }
                available = true;
                put_in_force(&daemon, reply);
            }
            Err(error) => {
                if available {
                    events::LOG_UNAVAILABLE.log(format_args!("{error}"));
                }
                available = false;
                sleep_ms(RETRY_PAUSE_MS).await;
            }
        }
    }
}

fn put_in_force(daemon: &Daemon, reply: ReadReply) {
    let entries: Vec<_> =
        reply.entries.into_iter().map(|entry| (entry.offset, entry.record)).collect();
    let caught_up = entries.last().map_or(daemon.ledger.next_offset(), |(offset, _)| offset + 1)
        >= reply.end_offset;
    if !entries.is_empty() {
        for (offset, applied) in daemon.ledger.apply(&entries) {
            if let Applied::Quarantine { fingerprint, active: false } = &applied {
                daemon.quarantine.forget(fingerprint);
            }
            log_applied(offset, &applied);
        }
        daemon.peers.announce();
    }
    if caught_up {
        daemon.become_ready();
    }
}

fn log_applied(offset: u64, applied: &Applied) {
    match applied {
        Applied::Contract { organisation, revision } => {
            events::CONTRACT_IN_FORCE
                .log(format_args!("{organisation} revision {revision} at offset {offset}"));
        }
        Applied::Skipped(skip @ Skip::Conflict { .. }) => {
            events::CONTRACT_CONFLICT.log(format_args!("offset {offset}: {skip}"));
        }
        Applied::Skipped(skip) => {
            events::RECORD_SKIPPED.log(format_args!("offset {offset}: {skip}"));
        }
        Applied::Quarantine { fingerprint, active: true } => {
            events::QUARANTINE_DECLARED.log(format_args!("{}", hex::encode(fingerprint)));
        }
        Applied::Quarantine { fingerprint, active: false } => {
            events::QUARANTINE_LIFTED.log(format_args!("{}", hex::encode(fingerprint)));
        }
        Applied::Claim { .. } | Applied::ClaimEnded => {}
        Applied::Duplicate | Applied::Ignored => {}
    }
}
