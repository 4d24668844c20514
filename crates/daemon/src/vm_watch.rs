use std::sync::Arc;

use comfreymast_decide::list_guard::{ListGuard, ListVerdict};
use comfreymast_net::sleep_ms;
use comfreymast_platform::{Vm, VmListClient};

use crate::daemon::Daemon;
use crate::directory::Directory;
use crate::events;

/// Polls the VM list until the daemon ends. After a failed read the last list stays in use.
pub(crate) async fn watch(daemon: Arc<Daemon>, list: VmListClient) {
    let mut available = true;
    let mut guard = ListGuard::default();
    let mut held = false;
    loop {
        let asked_ms = daemon.clock.now_ms();
        match list.read().await {
            Ok(vms) => {
                if !available {
                    events::VM_LIST_RESTORED.log(format_args!("{} VMs", vms.len()));
                }
                available = true;
                held = apply_list(&daemon, &mut guard, vms, held);
                note_sole_daemon(&daemon, asked_ms, held);
            }
            Err(error) => {
                if available {
                    events::VM_LIST_UNAVAILABLE.log(format_args!("{error}"));
                }
                available = false;
            }
        }
        daemon.currency.record_vm_list_attempt(asked_ms);
        sleep_ms(daemon.settings.vms_interval_ms).await;
    }
}

/// Applies a new list. If implausibly many VMs are missing from it, they are kept.
///
/// Returns whether VMs were kept; `held` is the result for the previous list.
fn apply_list(daemon: &Daemon, guard: &mut ListGuard, mut vms: Vec<Vm>, held: bool) -> bool {
    let known = daemon.directory.load_full();
    let missing = known.missing_from(&vms);
    let verdict = guard.evaluate(known.len(), missing.len(), vms.len(), daemon.clock.now_ms());
    let holds = verdict == ListVerdict::Hold;
    if holds && !held {
        let (missing, known) = (missing.len(), known.len());
        events::VM_LIST_HELD.log(format_args!("{missing} of {known} VMs are missing"));
    }
    if holds {
        vms.extend(missing);
    }
    let updated = known.updated(vms);
    log_changes(&known, &updated);
    daemon.directory.store(Arc::new(updated));
    holds
}

/// A sole daemon needs no evidence from peers: no change is accepted before it has applied it.
fn note_sole_daemon(daemon: &Daemon, asked_ms: u64, held: bool) {
    let directory = daemon.directory.load();
    let own_name = &daemon.settings.name;
    let is_only_listed = directory.daemons.len() == 1 && directory.lists_daemons([own_name]);
    let now_ms = daemon.clock.now_ms();
    let has_recent_peers =
        daemon.peers.table().heard_within(daemon.currency.max_age_ms(), now_ms).next().is_some();
    if is_only_listed && !held && !has_recent_peers && daemon.has_loaded() {
        daemon.currency.record_peer_agreement(asked_ms);
    }
}

fn log_changes(known: &Directory, updated: &Directory) {
    for (name, state) in &updated.upstreams {
        let stayed = known.upstreams.get(name).is_some_and(|known| !known.leaving);
        if state.leaving && stayed {
            events::UPSTREAM_LEAVING.log(format_args!("{name}"));
        }
    }
    for (name, state) in &known.upstreams {
        if !state.leaving && !updated.upstreams.contains_key(name) {
            events::UPSTREAM_GONE.log(format_args!("{name}"));
        }
    }
}
