//! Resident memory of a daemon with many contracts and many open streams.

use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_proof::Reader;
use serde_json::json;

use crate::bench_fleet::{BenchFleet, MODEL};
use crate::failure::Failure;
use crate::paced_engine::PacedEngine;
use crate::usage::Usage;

const CONTRACTS: u32 = 8_700;
const STREAMS: usize = 1_000;
const GAP_MS: u64 = 100;
const DAEMON_THREADS: u32 = 4;
const STREAMING_MS: u64 = 10_000;

/// Prints the memory when idle, with all contracts published, and with all streams open.
pub(crate) async fn run(spawner: &Spawner) -> Result<(), Failure> {
    let (_engine, engine_addr) = PacedEngine::start(spawner, GAP_MS).await?;
    let bench = BenchFleet::start(spawner, 1, DAEMON_THREADS).await?;
    let process_id = bench.daemon(0).process.id();
    bench.publish_vm_list(1, engine_addr).await?;
    print_resident("idle", process_id)?;
    let record_bytes = bench.publish_contracts(0..CONTRACTS).await?;
    println!("{CONTRACTS} contracts, {record_bytes} bytes of records");
    print_resident("with contracts", process_id)?;
    let readers = open_streams(spawner, &bench).await?;
    sleep_ms(STREAMING_MS).await;
    print_resident(&format!("with {} open streams", readers.len()), process_id)?;
    Ok(())
}

/// Opens streams that continue until the returned tasks are dropped. Each task reads one stream.
async fn open_streams(
    spawner: &Spawner,
    bench: &BenchFleet,
) -> Result<Vec<impl Sized + use<>>, Failure> {
    let body = json!({
        "model": MODEL, "prompt": "a room", "max_tokens": 100_000, "stream": true,
    });
    let body = body.to_string();
    let mut readers = Vec::new();
    for _ in 0..STREAMS {
        let addr = bench.daemon(0).callers();
        let reader = bench.client().open(addr, "POST", "/v1/completions", &[], &body).await?;
        if reader.status != 200 {
            return Err(Failure::Refused { status: reader.status });
        }
        readers.push(spawner.spawn(read_to_end(reader)));
    }
    Ok(readers)
}

async fn read_to_end(mut reader: Reader) {
    while reader.next().await.is_some() {}
}

fn print_resident(state: &str, process_id: u32) -> Result<(), Failure> {
    const BYTES_PER_MB: f64 = 1_000_000.0;
    let usage = Usage::of(process_id)?;
    println!("{state}: {:.1} MB resident", usage.resident_bytes as f64 / BYTES_PER_MB);
    Ok(())
}
