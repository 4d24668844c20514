use comfreymast_net::{Spawner, sleep_ms};

use super::linear_fit::LinearFit;
use crate::bench_fleet::BenchFleet;
use crate::failure::Failure;
use crate::paced_engine::PacedEngine;
use crate::usage::Usage;

const UPSTREAMS: [usize; 3] = [13, 500, 4_200];
const SETTLE_MS: u64 = 2_000;
const WINDOW_MS: u64 = 10_000;

pub(super) async fn run(spawner: &Spawner) -> Result<(), Failure> {
    let mut core_percent = LinearFit::new("core_percent");
    let mut resident = LinearFit::new("resident_bytes");
    let mut list = LinearFit::new("vm_list_bytes");
    let mut reports = LinearFit::new("load_report_bytes_per_s");
    let mut calls = LinearFit::new("load_reports_per_s");
    for upstreams in UPSTREAMS {
        let (_engine, addr) = PacedEngine::start(spawner, 0).await?;
        let bench = BenchFleet::start(spawner, 1, 2).await?;
        let process_id = bench.daemon(0).process.id();
        let list_bytes = bench.publish_vm_list(upstreams, addr).await?;
        sleep_ms(SETTLE_MS).await;
        let before = Usage::of(process_id)?;
        let bytes_before = bench.control_bytes(0, "load").await?;
        let calls_before = bench.control_messages(0, "load").await?;
        sleep_ms(WINDOW_MS).await;
        let used = Usage::of(process_id)?.since(before);
        let window_s = WINDOW_MS as f64 / 1_000.0;
        core_percent.add(upstreams, used.cpu_us as f64 / window_s / 10_000.0);
        resident.add(upstreams, used.resident_bytes as f64);
        list.add(upstreams, list_bytes as f64);
        reports.add(upstreams, (bench.control_bytes(0, "load").await? - bytes_before) / window_s);
        calls.add(upstreams, (bench.control_messages(0, "load").await? - calls_before) / window_s);
    }
    for fit in [core_percent, resident, list, reports, calls] {
        fit.print();
    }
    Ok(())
}
