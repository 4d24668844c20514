//! What a daemon adds to a stream, and how many tokens one core relays. The engine, the readers and
//! the straight way without a daemon are in this process, so one clock measures all of them.

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
/// Streams start one after another, so that their tokens do not come in bursts.
const START_GAP_MS: u64 = 3;

/// Times of one run, in microseconds.
#[derive(Clone, Debug)]
struct Times {
    first_token: Histogram<u64>,
    travel: Histogram<u64>,
}

impl Times {
    fn new() -> Result<Self, Failure> {
        Ok(Self { first_token: Histogram::new(3)?, travel: Histogram::new(3)? })
    }

    fn add(&mut self, other: &Self) -> Result<(), Failure> {
        self.first_token.add(&other.first_token)?;
        self.travel.add(&other.travel)?;
        Ok(())
    }
}

/// Compares the straight way with the way through a daemon, in turns.
pub(crate) async fn added(
    spawner: &Spawner,
    threads: Option<u32>,
    rounds: Option<usize>,
) -> Result<(), Failure> {
    let threads = threads.unwrap_or(DAEMON_THREADS);
    let rounds = rounds.unwrap_or(ROUNDS);
    let (engine, engine_addr) = PacedEngine::start(spawner, GAP_MS).await?;
    let bench = BenchFleet::start(spawner, 1, threads).await?;
    bench.publish(0..1).await?;
    bench.list_engines(1, engine_addr).await?;
    let daemon_addr = bench.daemon(0).callers();
    println!("{STREAMS} streams, a token each {GAP_MS} ms, {TOKENS} tokens, {threads} threads");
    println!("way       round  tokens/s  first p50/p99 us  token p50/p99/max us");
    for round in 1..=rounds {
        for (way, addr) in [("straight", engine_addr), ("daemon", daemon_addr)] {
            let before = Usage::of(bench.daemon(0).process.id())?;
            let began = Instant::now();
            let times = run(spawner, &engine, addr, way == "daemon").await?;
            let elapsed_s = began.elapsed().as_secs_f64();
            let used = Usage::of(bench.daemon(0).process.id())?.since(before);
            println!(
                "{way:<9} {round:<6} {:<9.0} {:>6}/{:<9} {:>6}/{}/{}  daemon {:.1}% of a core, {:.1}% in the kernel",
                times.travel.len() as f64 / elapsed_s,
                times.first_token.value_at_quantile(0.5),
                times.first_token.value_at_quantile(0.99),
                times.travel.value_at_quantile(0.5),
                times.travel.value_at_quantile(0.99),
                times.travel.max(),
                used.cpu_us as f64 / elapsed_s / 10_000.0,
                used.system_us as f64 / elapsed_s / 10_000.0,
            );
        }
    }
    Ok(())
}

async fn run(
    spawner: &Spawner,
    engine: &PacedEngine,
    addr: SocketAddr,
    through_daemon: bool,
) -> Result<Times, Failure> {
    let mut readers = Vec::new();
    for _ in 0..STREAMS {
        let client = Client::new(spawner, KEY);
        let engine = engine.clone();
        readers.push(spawner.spawn(async move {
            if through_daemon {
                read_daemon(&client, &engine, addr).await
            } else {
                read_straight(&client, &engine, addr).await
            }
        }));
        sleep_ms(START_GAP_MS).await;
    }
    let mut times = Times::new()?;
    for reader in readers {
        times.add(&reader.await?)?;
    }
    Ok(times)
}

async fn read_daemon(
    client: &Client,
    engine: &PacedEngine,
    addr: SocketAddr,
) -> Result<Times, Failure> {
    let began_us = engine.now_us();
    let reader = open_daemon(client, addr, TOKENS).await?;
    read(reader, engine, began_us, |data| {
        let chunk: serde_json::Value = serde_json::from_str(data).ok()?;
        chunk["choices"][0]["text"].as_str()?.parse().ok()
    })
    .await
}

async fn read_straight(
    client: &Client,
    engine: &PacedEngine,
    addr: SocketAddr,
) -> Result<Times, Failure> {
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
    let began_us = engine.now_us();
    let reader = client.open(addr, "POST", "/v1/completions", &[], &body).await?;
    read(reader, engine, began_us, |data| {
        let token: Token = serde_json::from_str(data).ok()?;
        token.text.parse().ok()
    })
    .await
}

async fn open_daemon(client: &Client, addr: SocketAddr, tokens: u32) -> Result<Reader, Failure> {
    let body = json!({
        "model": MODEL, "prompt": "a room", "max_tokens": tokens, "stream": true,
    });
    let reader = client.open(addr, "POST", "/v1/completions", &[], &body.to_string()).await?;
    if reader.status == 200 { Ok(reader) } else { Err(Failure::Refused { status: reader.status }) }
}

async fn read(
    mut reader: Reader,
    engine: &PacedEngine,
    began_us: u64,
    sent_us: impl Fn(&str) -> Option<u64>,
) -> Result<Times, Failure> {
    let mut times = Times::new()?;
    while let Some(event) = reader.next().await {
        let Some(sent_us) = sent_us(&event.data) else { continue };
        let now_us = engine.now_us();
        if times.travel.is_empty() {
            times.first_token.record(now_us - began_us)?;
        }
        times.travel.record(now_us.saturating_sub(sent_us))?;
    }
    let tokens = u32::try_from(times.travel.len()).unwrap_or(u32::MAX);
    if tokens < TOKENS { Err(Failure::Short { tokens }) } else { Ok(times) }
}

/// Floods a daemon that has one thread, and counts its processor time.
pub(crate) async fn core(
    spawner: &Spawner,
    tokens: Option<u32>,
    rounds: Option<usize>,
) -> Result<(), Failure> {
    let tokens = tokens.unwrap_or(CORE_TOKENS);
    let rounds = rounds.unwrap_or(ROUNDS);
    let (_engine, engine_addr) = PacedEngine::start(spawner, 0).await?;
    let bench = BenchFleet::start(spawner, 1, 1).await?;
    bench.publish(0..1).await?;
    bench.list_engines(1, engine_addr).await?;
    let process_id = bench.daemon(0).process.id();
    println!("{CORE_STREAMS} streams of {tokens} tokens as fast as they go, {rounds} rounds");
    for round in 1..=rounds {
        let before = Usage::of(process_id)?;
        let began = Instant::now();
        let mut readers = Vec::new();
        for _ in 0..CORE_STREAMS {
            let client = bench.client();
            let addr = bench.daemon(0).callers();
            readers.push(spawner.spawn(async move {
                let mut reader = open_daemon(&client, addr, tokens).await?;
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
        let elapsed_s = began.elapsed().as_secs_f64();
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
