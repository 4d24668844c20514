use comfreymast_daemon::operators::QuarantineView;
use comfreymast_net::empty;

use crate::api::ApiClient;
use crate::failure::Failure;
use crate::flags::{Comfreymast, Quarantine, QuarantineCmd};
use crate::output::Format;
use crate::stored_quarantine;

/// Runs the subcommands of `comfreymast quarantine`.
pub(crate) fn run(
    flags: &Comfreymast,
    quarantine: &Quarantine,
    format: Format,
) -> Result<(), Failure> {
    if let Some(store) = &quarantine.store {
        return stored_quarantine::run(store, &quarantine.subcommand, format);
    }
    let api = ApiClient::new(flags)?;
    match &quarantine.subcommand {
        QuarantineCmd::ListQuarantined(_) => list(&api, format),
        QuarantineCmd::Lift(lift) => {
            api.call("DELETE", &format!("/quarantine/{}", lift.fingerprint), empty())?;
            format.print_done("the quarantine is lifted")
        }
    }
}

fn list(api: &ApiClient, format: Format) -> Result<(), Failure> {
    let reply = api.call("GET", "/quarantine", empty())?;
    let list: Vec<QuarantineView> = serde_json::from_slice(&reply)?;
    let row = |view: &QuarantineView| {
        vec![
            view.fingerprint.clone(),
            view.deaths.to_string(),
            view.daemon.clone(),
            view.declared_unix_ms.to_string(),
        ]
    };
    let rows: Vec<_> = list.iter().map(row).collect();
    format.print(&list, &["FINGERPRINT", "DEATHS", "DAEMON", "UNIX_MS"], &rows)
}
