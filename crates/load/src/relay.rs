//! The latency that a daemon adds to a stream, and how many tokens one core relays. The engine, the
//! readers and the direct connection without a daemon are in this process, so one clock measures
//! all of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use comfreymast_base::{GenerationId, Model};
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_proof::{Client, Reader};
use comfreymast_wire::engine::{StartGeneration, Token};
use hdrhistogram::Histogram;
use serde_json::json;

use crate::bench_fleet::{BenchFleet, KEY, MODEL};
use crate::failure::Failure;
use crate::paced_engine::PacedEngine;
use crate::usage::Usage;

const STREAMS: u32 = 140;
const GAP_MS: u64 = 20;
const TOKENS: u32 = 400;
const ROUNDS: usize = 3;
const CORE_STREAMS: u32 = 64;
const CORE_TOKENS: u32 = 20_000;
const DAEMON_THREADS: u32 = 4;
/// Delay between the starts of streams, so that their tokens do not arrive in bursts.
const START_DELAY_MS: u64 = 3;

/// Latencies of one run, in microseconds.
#[derive(Clone, Debug)]
struct Latencies {
    first_token: Histogram<u64>,
    token: Histogram<u64>,
}

impl Latencies {
    fn new() -> Result<Self, Failure> {
        Ok(Self { first_token: Histogram::new(3)?, token: Histogram::new(3)? })
    }

    fn add(&mut self, other: &Self) -> Result<(), Failure> {
        self.first_token.add(&other.first_token)?;
        self.token.add(&other.token)?;
        Ok(())
    }
}

/// Compares a direct connection to the engine with one through a daemon, in alternating rounds.
pub(crate) async fn compare_latency(
    spawner: &Spawner,
    threads: Option<u32>,
    rounds: Option<usize>,
) -> Result<(), Failure> {
    let threads = threads.unwrap_or(DAEMON_THREADS);
    let rounds = rounds.unwrap_or(ROUNDS);
    let (engine, engine_addr) = PacedEngine::start(spawner, GAP_MS).await?;
    let bench = BenchFleet::start(spawner, 1, threads).await?;
    bench.publish_contracts(0..1).await?;
    bench.publish_vm_list(1, engine_addr).await?;
    let daemon_addr = bench.daemon(0).callers();
    println!("{STREAMS} streams, a token each {GAP_MS} ms, {TOKENS} tokens, {threads} threads");
    println!("way       round  tokens/s  first p50/p99 us  token p50/p99/max us");
    for round in 1..=rounds {
        for (path, addr) in [("straight", engine_addr), ("daemon", daemon_addr)] {
            let before = Usage::of(bench.daemon(0).process.id())?;
            let started = Instant::now();
            let latencies = run_streams(spawner, &engine, addr, path == "daemon").await?;
            let elapsed_s = started.elapsed().as_secs_f64();
            let used = Usage::of(bench.daemon(0).process.id())?.since(before);
            println!(
                "{path:<9} {round:<6} {:<9.0} {:>6}/{:<9} {:>6}/{}/{}  daemon {:.1}% of a core, {:.1}% in the kernel",
                latencies.token.len() as f64 / elapsed_s,
                latencies.first_token.value_at_quantile(0.5),
                latencies.first_token.value_at_quantile(0.99),
                latencies.token.value_at_quantile(0.5),
                latencies.token.value_at_quantile(0.99),
                latencies.token.max(),
                used.cpu_us as f64 / elapsed_s / 10_000.0,
                used.system_us as f64 / elapsed_s / 10_000.0,
            );
        }
    }
    Ok(())
}

async fn run_streams(
    spawner: &Spawner,
    engine: &PacedEngine,
    addr: SocketAddr,
    through_daemon: bool,
) -> Result<Latencies, Failure> {
    let mut readers = Vec::new();
    for _ in 0..STREAMS {
        let client = Client::new(spawner, KEY);
        let engine = engine.clone();
        readers.push(spawner.spawn(async move {
            if through_daemon {
                read_from_daemon(&client, &engine, addr).await
            } else {
                read_from_engine(&client, &engine, addr).await
            }
        }));
        sleep_ms(START_DELAY_MS).await;
    }
    let mut latencies = Latencies::new()?;
    for reader in readers {
        latencies.add(&reader.await?)?;
    }
    Ok(latencies)
}

async fn read_from_daemon(
    client: &Client,
    engine: &PacedEngine,
    addr: SocketAddr,
) -> Result<Latencies, Failure> {
    let started_us = engine.now_us();
    let reader = open_stream(client, addr, TOKENS).await?;
    read_tokens(reader, engine, started_us, |data| {
        let chunk: serde_json::Value = serde_json::from_str(data).ok()?;
        chunk["choices"][0]["text"].as_str()?.parse().ok()
    })
    .await
}

async fn read_from_engine(
    client: &Client,
    engine: &PacedEngine,
    addr: SocketAddr,
) -> Result<Latencies, Failure> {
    let start = StartGeneration {
        generation: GenerationId::random(),
        fence: 1,
        model: Model::from(MODEL),
        prompt: Arc::from("a room"),
        max_tokens: TOKENS,
        priority: 5,
        resume: Vec::new(),
    };
    let body = serde_json::to_string(&start).unwrap_or_default();
    let started_us = engine.now_us();
    let reader = client.open(addr, "POST", "/v1/completions", &[], &body).await?;
    read_tokens(reader, engine, started_us, |data| {
        let token: Token = serde_json::from_str(data).ok()?;
        token.text.parse().ok()
    })
    .await
}

async fn open_stream(client: &Client, addr: SocketAddr, tokens: u32) -> Result<Reader, Failure> {
    let body = json!({
        "model": MODEL, "prompt": "a room", "max_tokens": tokens, "stream": true,
    });
    let reader = client.open(addr, "POST", "/v1/completions", &[], &body.to_string()).await?;
    if reader.status == 200 { Ok(reader) } else { Err(Failure::Refused { status: reader.status }) }
}

async fn read_tokens(
    mut reader: Reader,
    engine: &PacedEngine,
    started_us: u64,
    parse_sent_us: impl Fn(&str) -> Option<u64>,
) -> Result<Latencies, Failure> {
    let mut latencies = Latencies::new()?;
    while let Some(event) = reader.next().await {
        let Some(sent_us) = parse_sent_us(&event.data) else { continue };
        let now_us = engine.now_us();
        if latencies.token.is_empty() {
            latencies.first_token.record(now_us - started_us)?;
        }
        latencies.token.record(now_us.saturating_sub(sent_us))?;
    }
    let tokens = u32::try_from(latencies.token.len()).unwrap_or(u32::MAX);
    if tokens < TOKENS { Err(Failure::Incomplete { tokens }) } else { Ok(latencies) }
}

/// Sends tokens through a daemon with a single executor thread as fast as it relays them, and
/// measures its CPU time.
pub(crate) async fn measure_core(
    spawner: &Spawner,
    tokens: Option<u32>,
    rounds: Option<usize>,
) -> Result<(), Failure> {
    let tokens = tokens.unwrap_or(CORE_TOKENS);
    let rounds = rounds.unwrap_or(ROUNDS);
    let (_engine, engine_addr) = PacedEngine::start(spawner, 0).await?;
    let bench = BenchFleet::start(spawner, 1, 1).await?;
    bench.publish_contracts(0..1).await?;
    bench.publish_vm_list(1, engine_addr).await?;
    let process_id = bench.daemon(0).process.id();
    println!("{CORE_STREAMS} streams of {tokens} tokens as fast as they go, {rounds} rounds");
    for round in 1..=rounds {
        let before = Usage::of(process_id)?;
        let started = Instant::now();
        let mut readers = Vec::new();
        for _ in 0..CORE_STREAMS {
            let client = bench.client();
            let addr = bench.daemon(0).callers();
            readers.push(spawner.spawn(async move {
                let mut reader = open_stream(&client, addr, tokens).await?;
                let mut events = 0_u64;
                while reader.next().await.is_some() {
                    events += 1;
                }
                Ok::<_, Failure>(events)
            }));
        }
        let mut events = 0;
        for reader in readers {
            events += reader.await?;
        }
        let elapsed_s = started.elapsed().as_secs_f64();
        let used = Usage::of(process_id)?.since(before);
        let cpu_s = used.cpu_us as f64 / 1e6;
        println!(
            "round {round}: {:.0} tokens/s passed; daemon used {:.0}% of a core, {:.0}% in \
             the kernel; {:.0} tokens for each second of its processor time",
            events as f64 / elapsed_s,
            cpu_s / elapsed_s * 100.0,
            used.system_us as f64 / elapsed_s / 10_000.0,
            events as f64 / cpu_s,
        );
    }
    Ok(())
}
