use std::time::Instant;

use comfreymast_net::Spawner;

use super::linear_fit::LinearFit;
use crate::bench_fleet::BenchFleet;
use crate::failure::Failure;
use crate::usage::Usage;

const CONTRACTS: [u32; 3] = [10, 1_000, 8_700];
const CHANGES: u32 = 100;

pub(super) async fn run(spawner: &Spawner) -> Result<(), Failure> {
    let mut resident = LinearFit::new("resident_bytes");
    let mut cold_start_ms = LinearFit::new("cold_start_ms");
    let mut cold_start_bytes = LinearFit::new("cold_start_log_bytes");
    let mut change_us = LinearFit::new("change_cpu_us");
    for contracts in CONTRACTS {
        let size = usize::try_from(contracts).unwrap_or(usize::MAX);
        let mut bench = BenchFleet::start(spawner, 1, 2).await?;
        bench.publish_contracts(0..contracts).await?;
        let process_id = bench.daemon(0).process.id();
        let before = Usage::of(process_id)?;
        resident.add(size, before.resident_bytes as f64);

        let started = Instant::now();
        bench.add_daemon("cold").await?;
        cold_start_ms.add(size, started.elapsed().as_secs_f64() * 1_000.0);
        cold_start_bytes.add(size, bench.control_bytes(1, "log").await?);

        let before = Usage::of(process_id)?;
        for change in contracts..contracts + CHANGES {
            bench.append_contracts(change..change + 1).await?;
        }
        bench.wait_for_status("contracts", size + CHANGES as usize).await?;
        let used = Usage::of(process_id)?.since(before);
        change_us.add(size, used.cpu_us as f64 / f64::from(CHANGES));
    }
    for fit in [resident, cold_start_ms, cold_start_bytes, change_us] {
        fit.print();
    }
    Ok(())
}
