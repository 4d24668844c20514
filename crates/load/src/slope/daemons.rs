use comfreymast_net::{Spawner, sleep_ms};

use super::linear_fit::LinearFit;
use crate::bench_fleet::BenchFleet;
use crate::failure::Failure;
use crate::usage::Usage;

const DAEMONS: [usize; 4] = [3, 9, 27, 81];
const SETTLE_MS: u64 = 2_000;
const WINDOW_MS: u64 = 10_000;

pub(super) async fn run(spawner: &Spawner) -> Result<(), Failure> {
    let mut core_percent = LinearFit::new("core_percent_of_each_daemon");
    let mut resident = LinearFit::new("resident_bytes");
    let mut bytes = LinearFit::new("peer_bytes_per_s_sent_and_received");
    let mut messages = LinearFit::new("peer_messages_per_s_sent_and_received");
    for daemons in DAEMONS {
        let bench = BenchFleet::start(spawner, daemons, 1).await?;
        sleep_ms(SETTLE_MS).await;
        let before = total_usage(&bench)?;
        let bytes_before = bench.control_bytes(0, "peers").await?;
        let messages_before = bench.control_messages(0, "peers").await?;
        sleep_ms(WINDOW_MS).await;
        let used = total_usage(&bench)?.since(before);
        let window_s = WINDOW_MS as f64 / 1_000.0;
        let cpu_us = used.cpu_us as f64 / daemons as f64;
        core_percent.add(daemons, cpu_us / window_s / 10_000.0);
        resident.add(daemons, used.resident_bytes as f64 / daemons as f64);
        bytes.add(daemons, (bench.control_bytes(0, "peers").await? - bytes_before) / window_s);
        let sent = bench.control_messages(0, "peers").await? - messages_before;
        messages.add(daemons, sent / window_s);
    }
    for fit in [core_percent, resident, bytes, messages] {
        fit.print();
    }
    Ok(())
}

/// Total usage of all daemons.
fn total_usage(bench: &BenchFleet) -> Result<Usage, Failure> {
    let mut sum = Usage::default();
    for daemon in &bench.fleet.daemons {
        let usage = Usage::of(daemon.process.id())?;
        sum.cpu_us += usage.cpu_us;
        sum.system_us += usage.system_us;
        sum.resident_bytes += usage.resident_bytes;
    }
    Ok(sum)
}
