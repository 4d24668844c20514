use std::io::Write;

use comfreymast_daemon::{Addresses, SettingSpec, Settings};
use comfreymast_net::Spawner;
use env_logger::Env;
use futures_lite::StreamExt;

use crate::api::flag_or_env;
use crate::failure::Failure;
use crate::flags::{Comfreymast, Daemon};
use crate::output::Format;

/// Runs `comfreymast daemon`.
pub(crate) fn run(flags: &Comfreymast, daemon: &Daemon, format: Format) -> Result<(), Failure> {
    let settings = Settings::read(|spec| {
        flag_or_env(flag_value(flags, daemon, spec).as_deref(), &spec.env())
    })?;
    if daemon.check {
        return format.print_done("the settings are good");
    }
    env_logger::Builder::from_env(Env::default().default_filter_or("info")).init();
    let mut signals =
        async_signal::Signals::new([async_signal::Signal::Term, async_signal::Signal::Int])
            .map_err(Failure::Signals)?;
    Spawner::run(settings.threads, |spawner| async move {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        spawner.detach(async move {
            let _ = signals.next().await;
            // Closing the channel drains the daemon.
            stop.close();
        });
        comfreymast_daemon::run(spawner, settings, stopped, print_addresses).await
    })?;
    Ok(())
}

/// The value of the flag that belongs to a setting.
fn flag_value(flags: &Comfreymast, daemon: &Daemon, spec: &SettingSpec) -> Option<String> {
    let value = match spec.flag {
        "name" => &daemon.name,
        "data-centre" => &daemon.data_centre,
        "log-addr" => &daemon.log_addr,
        "vms-addr" => &daemon.vms_addr,
        "operator-key" => &flags.operator_key,
        "fleet-key" => &daemon.fleet_key,
        "callers-addr" => &daemon.callers_addr,
        "operators-addr" => &daemon.operators_addr,
        "peers-addr" => &daemon.peers_addr,
        "threads" => &daemon.threads,
        "heartbeat-interval-ms" => &daemon.heartbeat_interval_ms,
        "vms-interval-ms" => &daemon.vms_interval_ms,
        "snapshot-interval-ms" => &daemon.snapshot_interval_ms,
        "snapshot-records" => &daemon.snapshot_records,
        "load-interval-ms" => &daemon.load_interval_ms,
        "silence-ms" => &daemon.silence_ms,
        "call-limit-ms" => &daemon.call_limit_ms,
        "header-timeout-ms" => &daemon.header_timeout_ms,
        "body-timeout-ms" => &daemon.body_timeout_ms,
        "keepalive-ms" => &daemon.keepalive_ms,
        "reader-stall-ms" => &daemon.reader_stall_ms,
        "drain-grace-ms" => &daemon.drain_grace_ms,
        "drain-limit-ms" => &daemon.drain_limit_ms,
        "max-body-bytes" => &daemon.max_body_bytes,
        "memory-mb" => &daemon.memory_mb,
        "max-fds" => &daemon.max_fds,
        _ => &None,
    };
    value.clone()
}

/// Prints the first line on standard output, for scripts that let the system choose ports.
fn print_addresses(addresses: Addresses) {
    let Addresses { callers, operators, peers } = addresses;
    println!("listening on callers={callers} operators={operators} peers={peers}");
    let _ = std::io::stdout().flush();
}
