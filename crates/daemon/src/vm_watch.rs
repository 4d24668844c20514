use std::sync::Arc;

use comfreymast_net::sleep_ms;
use comfreymast_platform::VmList;

use crate::daemon::Daemon;
use crate::directory::Directory;
use crate::events;

/// Reads the VM list again and again, until the daemon ends. A failed read keeps the last list.
pub(crate) async fn watch(daemon: Arc<Daemon>, list: VmList) {
    let mut available = true;
    loop {
        match list.read().await {
            Ok(vms) => {
                if !available {
                    events::VM_LIST_RESTORED.log(format_args!("{} VMs", vms.len()));
                }
                available = true;
                let known = daemon.directory.load_full();
                let updated = known.updated(vms);
                log_leaving(&known, &updated);
                daemon.directory.store(Arc::new(updated));
            }
            Err(error) => {
                if available {
                    events::VM_LIST_UNAVAILABLE.log(format_args!("{error}"));
                }
                available = false;
            }
        }
        sleep_ms(daemon.settings.vms_interval_ms).await;
    }
}

fn log_leaving(known: &Directory, updated: &Directory) {
    for (name, state) in &updated.upstreams {
        let stayed = known.upstreams.get(name).is_some_and(|known| !known.leaving);
        if state.leaving && stayed {
            events::UPSTREAM_LEAVING.log(format_args!("{name}"));
        }
    }
}
