use async_signal::{Signal, Signals};
use comfreymast_gateway::{GatewayAddresses, GatewayOptions, install_log};
use comfreymast_net::Spawner;
use comfreymast_platform::{VmSettings, settings_path};
use futures_lite::StreamExt;

use crate::failure::Failure;
use crate::flags::Serve;
use crate::output::Format;

/// A VM of the platform has only a share of one core, so one thread is enough.
const THREADS: usize = 1;

/// Runs `comfreymast serve`.
pub(crate) fn run(serve: &Serve, format: Format) -> Result<(), Failure> {
    let path = serve.settings.clone().or_else(settings_path).ok_or(Failure::Usage {
        flag: "--settings",
        rule: "must name the settings file of the VM",
    })?;
    let settings = VmSettings::read(&path)?;
    if serve.check {
        return format.print_done("the settings are good");
    }
    install_log(log::LevelFilter::Info)?;
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(Failure::Signals)?;
    let metrics_port = serve.metrics_port;
    Spawner::run(THREADS, |spawner| async move {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let (reload, reloads) = async_channel::bounded::<()>(1);
        spawner.detach(async move {
            while let Some(signal) = signals.next().await {
                match signal {
                    Ok(Signal::Hup) => {
                        // The channel is full if a reload is pending; it will read this change too.
                        let _ = reload.try_send(());
                    }
                    // Closing the channel drains the daemon.
                    _ => {
                        stop.close();
                    }
                }
            }
        });
        let options = GatewayOptions::default().metrics_port(metrics_port);
        comfreymast_gateway::run(
            spawner,
            settings,
            path,
            options,
            stopped,
            reloads,
            print_addresses,
        )
        .await
    })?;
    Ok(())
}

/// Prints the first line on standard output, for scripts that let the system choose ports.
fn print_addresses(addresses: GatewayAddresses) {
    let GatewayAddresses { callers, ready, peers } = addresses;
    println!("listening on callers={callers} ready={ready} peers={peers}");
}
