use comfreymast_daemon::SETTINGS;
use comfreymast_daemon::operators::StatusReply;
use comfreymast_net::empty;
use serde::Serialize;

use crate::api::ApiClient;
use crate::failure::Failure;
use crate::flags::Comfreymast;
use crate::output::Format;

/// Runs `comfreymast status`.
pub(crate) fn status(flags: &Comfreymast, format: Format) -> Result<(), Failure> {
    let reply = ApiClient::new(flags)?.call("GET", "/status", empty())?;
    let status: StatusReply = serde_json::from_slice(&reply)?;
    let rows = [
        ("daemon", status.daemon.clone()),
        ("ready", status.ready.to_string()),
        ("current", status.current.to_string()),
        ("draining", status.draining.to_string()),
        ("next offset", status.next_offset.to_string()),
        ("snapshot offset", status.snapshot_offset.to_string()),
        ("contracts", status.contracts.to_string()),
        ("skipped records", status.skipped_records.to_string()),
        ("live peers", status.live_peers.join(" ")),
        ("silent peers", status.silent_peers.join(" ")),
        ("upstreams", status.upstreams.to_string()),
        ("leaving upstreams", status.leaving_upstreams.join(" ")),
    ];
    let rows = rows.map(|(name, value)| vec![name.to_owned(), value]);
    format.print(&status, &["FIELD", "VALUE"], &rows)
}

/// Runs `comfreymast drain`.
pub(crate) fn drain(flags: &Comfreymast, format: Format) -> Result<(), Failure> {
    ApiClient::new(flags)?.call("POST", "/drain", empty())?;
    format.print_done("the daemon drains")
}

#[derive(Serialize)]
struct SettingView {
    flag: String,
    env: String,
    default: Option<&'static str>,
    help: &'static str,
}

/// Runs `comfreymast config`.
pub(crate) fn config(format: Format) -> Result<(), Failure> {
    let settings = SETTINGS.map(|spec| SettingView {
        flag: format!("--{}", spec.flag),
        env: spec.env(),
        default: spec.default,
        help: spec.help,
    });
    let row = |setting: &SettingView| {
        let default = setting.default.unwrap_or("(required)").to_owned();
        vec![setting.flag.clone(), setting.env.clone(), default, setting.help.to_owned()]
    };
    let rows: Vec<_> = settings.iter().map(row).collect();
    format.print(&settings.as_slice(), &["FLAG", "ENVIRONMENT", "DEFAULT", "MEANING"], &rows)
}
