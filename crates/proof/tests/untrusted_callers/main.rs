//! A daemon survives callers that send too much or fall silent, and still serves an ordinary request.
//!
//! Each test guards against the end of a process for its memory or descriptors: the bounds are nine tenths of
//! the memory and all descriptors of the daemon's own settings.
#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

mod crowd;
mod site;
mod usage;

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use comfreymast_fakes::platform_documents::CallerRequest;
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_proof::{Client, Fleet, FleetOptions};

use crate::crowd::{Crowd, Sending};
use crate::site::Site;
use crate::usage::Usage;

/// The memory of the daemon's VM, in its settings.
const MEMORY_MB: u64 = 64;
/// The descriptors that the daemon may have open, in its settings.
const MAX_FDS: usize = 256;
/// The longest body, in the configuration.
const MAX_BODY_BYTES: usize = 1024 * 1024;
const CROWD: usize = 320;
/// Callers whose bodies are whole, as many as fit in the descriptors twice with their upstream's.
const WHOLE_CROWD: usize = 80;
const PEAK_KIB: u64 = MEMORY_MB * 1_000_000 / 1_024 * 9 / 10;
const THREADS: usize = 2;
const POLL_MS: u64 = 20;
const POLLS: usize = 2_000;
/// How long the crowd stays silent before the ordinary request.
const SILENCE_MS: u64 = 1_000;
const PIECE_BYTES: usize = 64 * 1024;
const ONE_BYTE_CHUNKS: usize = 60_000;
/// Within the longest head.
const HEAD_FILLER_BYTES: usize = 12_000;
const HUGE_BYTES: u64 = 4_000_000_000;
/// Statuses that tell a caller that its request has not run and will not.
const NOT_RUN: [u16; 5] = [408, 413, 421, 429, 503];

/// One test at a time, since each measures a process beside a crowd of threads.
static ALONE: Mutex<()> = Mutex::new(());

fn head(id: &str, path: &str, framing: &str) -> Vec<u8> {
    let request = CallerRequest { id, ..CallerRequest::default() };
    let text = request.text("POST", path, "");
    text.replace("content-length: 0\r\n", &format!("{framing}\r\n")).into_bytes()
}

fn sending(beginning: Vec<u8>) -> Sending {
    Sending {
        beginning,
        piece: Vec::new(),
        pieces: 0,
        end: Vec::new(),
        pause: Duration::ZERO,
        reads: true,
    }
}

fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b'a');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// All but the last byte of an announced body.
fn short_of_the_end(head: impl Fn(&str) -> Vec<u8>) -> Sending {
    let mut sending = sending(head(&format!("content-length: {MAX_BODY_BYTES}")));
    sending.end = vec![b'a'; MAX_BODY_BYTES - 1];
    sending
}

/// The same piece by piece.
fn piecemeal(head: impl Fn(&str) -> Vec<u8>) -> Sending {
    let pieces = MAX_BODY_BYTES / PIECE_BYTES - 1;
    let mut sending = sending(head(&format!("content-length: {MAX_BODY_BYTES}")));
    (sending.piece, sending.pieces) = (vec![b'a'; PIECE_BYTES], pieces);
    sending.end = vec![b'a'; PIECE_BYTES - 1];
    sending.pause = Duration::from_millis(POLL_MS);
    sending
}

fn large_chunks(head: impl Fn(&str) -> Vec<u8>) -> Sending {
    let mut sending = sending(head("transfer-encoding: chunked"));
    (sending.piece, sending.pieces) = (chunk(PIECE_BYTES), MAX_BODY_BYTES / PIECE_BYTES - 1);
    sending
}

fn one_byte_chunks(head: impl Fn(&str) -> Vec<u8>) -> Sending {
    let mut sending = sending(head("transfer-encoding: chunked"));
    sending.end = chunk(1).repeat(ONE_BYTE_CHUNKS);
    sending
}

fn far_too_long(head: impl Fn(&str) -> Vec<u8>) -> Sending {
    let mut sending = sending(head(&format!("content-length: {HUGE_BYTES}")));
    (sending.piece, sending.pieces) = (vec![b'a'; PIECE_BYTES], 2 * MAX_BODY_BYTES / PIECE_BYTES);
    sending
}

fn endless_chunks(head: impl Fn(&str) -> Vec<u8>) -> Sending {
    let mut sending = sending(head("transfer-encoding: chunked"));
    (sending.piece, sending.pieces) = (chunk(PIECE_BYTES), 3 * MAX_BODY_BYTES / PIECE_BYTES);
    sending
}

/// A head that lacks its end.
fn endless_head(head: impl Fn(&str) -> Vec<u8>) -> Sending {
    let mut head = head(&format!("x-filler: {}", "a".repeat(HEAD_FILLER_BYTES)));
    head.truncate(head.len() - b"\r\n".len());
    sending(head)
}

async fn wait_until_sent(crowd: &Crowd) {
    for _ in 0..POLLS {
        if crowd.has_sent() {
            break;
        }
        sleep_ms(POLL_MS).await;
    }
    sleep_ms(SILENCE_MS).await;
}

fn check(what: &str, usage: &Usage, serves: bool) {
    let peak_kib = usage.peak_memory_kib();
    let descriptors = usage.most_descriptors();
    println!("{what}: {peak_kib:?} KiB of {PEAK_KIB}, {descriptors} descriptors of {MAX_FDS}");
    assert!(peak_kib.is_some_and(|peak_kib| peak_kib <= PEAK_KIB), "{what}: {peak_kib:?} KiB");
    assert!(descriptors <= MAX_FDS, "{what}: {descriptors} descriptors");
    assert!(serves, "{what}: an ordinary request is not served");
}

fn crowd_id(number: usize) -> String {
    format!("crowd-{number}")
}

/// Plays callers at a daemon of the platform. `target` chooses its address; no request that was refused, or
/// whose body is not whole, may run.
fn play(
    what: &str,
    crowd: usize,
    may_run: bool,
    target: impl Fn(&Site) -> SocketAddr,
    caller: impl Fn(usize) -> Sending,
) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    Spawner::run(THREADS, async |spawner| {
        let mut site = Site::start(&spawner).await;
        let usage = Usage::of(site.process.id());
        let crowd = Crowd::start(crowd, target(&site), caller);
        wait_until_sent(&crowd).await;
        let serves = site.serves_an_ordinary_request("ordinary").await;
        assert_eq!(site.process.exit_code().unwrap(), None, "{what}: the process has ended");
        check(what, &usage, serves);
        let refused = |number: usize| {
            let statuses = crowd.statuses();
            statuses.iter().any(|(refused, status)| *refused == number && NOT_RUN.contains(status))
        };
        for run in site.upstream.runs() {
            let number = run.id.strip_prefix("crowd-").and_then(|number| number.parse().ok());
            if let Some(number) = number {
                assert!(may_run && !refused(number), "{what}: {} has run", run.id);
            }
        }
    });
}

fn play_bodies(what: &str, caller: impl Fn(&dyn Fn(&str) -> Vec<u8>) -> Sending) {
    play(
        what,
        CROWD,
        false,
        |site| site.callers,
        |number| caller(&|framing: &str| head(&crowd_id(number), "/plain/a", framing)),
    );
}

#[test]
fn bodies_of_legal_size_that_stop_short_of_the_end() {
    play_bodies("short of the end", |head| short_of_the_end(head));
}

#[test]
fn bodies_that_come_piece_by_piece_and_stop_short_of_the_end() {
    play_bodies("piecemeal", |head| piecemeal(head));
}

#[test]
fn bodies_in_large_chunks_without_the_last() {
    play_bodies("large chunks", |head| large_chunks(head));
}

#[test]
fn bodies_in_chunks_of_one_byte_without_the_last() {
    play_bodies("one-byte chunks", |head| one_byte_chunks(head));
}

#[test]
fn bodies_announced_far_over_the_limit() {
    play_bodies("announced far too long", |head| far_too_long(head));
}

#[test]
fn bodies_sent_far_over_the_limit() {
    play_bodies("endless chunks", |head| endless_chunks(head));
}

#[test]
fn heads_that_never_end() {
    play_bodies("endless heads", |head| endless_head(head));
}

#[test]
fn whole_bodies_at_once_at_a_slow_upstream() {
    play(
        "whole bodies",
        WHOLE_CROWD,
        true,
        |site| {
            site.upstream.update_behaviour(|behaviour| behaviour.answer_ms = 1_000);
            site.callers
        },
        |number| {
            let framing = format!("content-length: {MAX_BODY_BYTES}");
            let mut sending = sending(head(&crowd_id(number), "/plain/a", &framing));
            sending.end = vec![b'a'; MAX_BODY_BYTES];
            sending
        },
    );
}

#[test]
fn readers_that_never_read_large_answers() {
    play(
        "unread answers",
        CROWD,
        false,
        |site| site.callers,
        |number| {
            let head = head(&crowd_id(number), "/large/a", "content-length: 0");
            Sending { reads: false, ..sending(head) }
        },
    );
}

#[test]
fn readers_that_never_read_streams() {
    play(
        "unread streams",
        CROWD,
        false,
        |site| site.callers,
        |number| {
            let framing = "content-length: 0\r\nx-token-counts: 10,100";
            let head = head(&crowd_id(number), "/streams/a", framing);
            Sending { reads: false, ..sending(head) }
        },
    );
}

#[test]
fn forwarded_calls_that_stop_short_of_the_end() {
    play(
        "forwarded",
        CROWD,
        false,
        |site| site.peers,
        |_| {
            short_of_the_end(|framing: &str| {
                format!("POST /peer/forward HTTP/1.1\r\nhost: d0\r\n{framing}\r\n\r\n").into_bytes()
            })
        },
    );
}

const KEY: &str = "key-of-estudio-norte";
const CONTRACT: &str = r#"
organisation = "estudio-norte"

[limits]
concurrent_requests = 1000
requests_per_s = 10000

[[keys]]
name = "site"
# SHA-256 of "key-of-estudio-norte"
sha256 = "4c87c44e5ac0537924acfa2d882f1803b5300e6b28a05909f2cb5b70ed84d713"

[[work]]
kind = "report"
model = "m"
priority = 7
max_output_tokens = 20000
"#;

fn daemon_head(framing: &str) -> Vec<u8> {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: d0\r\nauthorization: Bearer {KEY}\r\n{framing}\r\n\r\n"
    )
    .into_bytes()
}

/// The same at `comfreymast daemon`, whose callers' bodies are never whole.
fn play_at_the_daemon(what: &str, caller: &Sending) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    Spawner::run(THREADS, async |spawner| {
        let mut options = FleetOptions { daemons: 1, engines: 1, ..FleetOptions::default() };
        options.daemon_flags.extend(["--max-body-bytes".to_owned(), MAX_BODY_BYTES.to_string()]);
        options.daemon_variables = vec![
            ("COMFREYMAST_MEMORY_MB".to_owned(), MEMORY_MB.to_string()),
            ("COMFREYMAST_MAX_FDS".to_owned(), MAX_FDS.to_string()),
        ];
        let mut fleet = Fleet::start(&spawner, options).await.unwrap();
        assert_eq!(fleet.put_contract(0, CONTRACT, &[]).unwrap().code, 0);
        let addr = fleet.daemons[0].callers();
        let usage = Usage::of(fleet.daemons[0].process.id());
        let crowd = Crowd::start(CROWD, addr, |_| caller.clone());
        wait_until_sent(&crowd).await;
        let mut serves = false;
        for _ in 0..POLLS / 10 {
            let client = Client::new(&spawner, KEY);
            let answer = client.complete(addr, "m", "a room", &[]).await;
            serves = answer.is_ok_and(|answer| answer.status == 200);
            if serves {
                break;
            }
            sleep_ms(POLL_MS).await;
        }
        assert_eq!(fleet.daemons[0].process.exit_code().unwrap(), None, "{what}");
        check(what, &usage, serves);
    });
}

#[test]
fn a_daemon_with_bodies_that_stop_short_of_the_end() {
    play_at_the_daemon("daemon, short of the end", &short_of_the_end(daemon_head));
}

#[test]
fn a_daemon_with_bodies_in_large_chunks_without_the_last() {
    play_at_the_daemon("daemon, large chunks", &large_chunks(daemon_head));
}

#[test]
fn a_daemon_with_bodies_in_chunks_of_one_byte_without_the_last() {
    play_at_the_daemon("daemon, one-byte chunks", &one_byte_chunks(daemon_head));
}

#[test]
fn a_daemon_with_bodies_announced_far_over_the_limit() {
    play_at_the_daemon("daemon, announced far too long", &far_too_long(daemon_head));
}

#[test]
fn a_daemon_with_bodies_sent_far_over_the_limit() {
    play_at_the_daemon("daemon, endless chunks", &endless_chunks(daemon_head));
}

#[test]
fn a_daemon_with_heads_that_never_end() {
    play_at_the_daemon("daemon, endless heads", &endless_head(daemon_head));
}
