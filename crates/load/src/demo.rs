//! A fleet on this machine: a contract is published, a generation is streamed, and the daemon
//! that streams it is killed. The reader goes on at another daemon and misses nothing.

use std::io::Write;

use comfreymast_contract::KeyHash;
use comfreymast_net::Spawner;
use comfreymast_proof::{Client, Fleet, FleetOptions, Reader, SseEvent};

use crate::failure::Failure;

const KEY: &str = "key-of-the-demo";
const TOKENS: u32 = 120;
const TOKENS_BEFORE_KILL: u32 = 50;
const PROMPT: &str = "Describe the reverberation of a stone chapel. tokens=120";
const ENGINE_STEP_US: &str = "20000";

/// Runs the demo.
pub(crate) async fn run(spawner: &Spawner) -> Result<(), Failure> {
    say("starting a log service, a VM list, two engines, a plain service and three daemons");
    let options = FleetOptions {
        engine_flags: vec!["--step-us".to_owned(), ENGINE_STEP_US.to_owned()],
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(spawner, options).await?;
    publish(&fleet)?;
    let client = Client::new(spawner, KEY);

    say("streaming a generation from daemon d0");
    let mut reading = Reading::default();
    let mut reader = client.stream(fleet.daemons[0].callers(), "m", PROMPT, &[]).await?;
    reading.read(&mut reader, TOKENS_BEFORE_KILL).await?;

    fleet.daemons[0].process.kill();
    println!();
    say("daemon d0 was killed; the reader gives its last event id to daemon d1");
    // What had left d0 before its end still counts.
    while let Some(event) = reader.next().await {
        reading.take(&event)?;
    }
    let last = [("last-event-id", reading.last_event_id.as_str())];
    let mut reader = client.stream(fleet.daemons[1].callers(), "m", PROMPT, &last).await?;
    reading.read(&mut reader, TOKENS).await?;
    println!();
    if reading.tokens != TOKENS || !reading.done {
        return Err(Failure::Short { tokens: reading.tokens });
    }
    say("all 120 tokens were read once, in order, from one generation");
    Ok(())
}

fn publish(fleet: &Fleet) -> Result<(), Failure> {
    let contract = include_str!("demo.toml").replace("HASH", &KeyHash::of(KEY).to_string());
    say("comfreymast contract put demo.toml");
    let put = fleet.put_contract(0, &contract, &[])?;
    if put.code != 0 {
        return Err(Failure::Command { code: put.code, stderr: put.stderr });
    }
    print!("{}", put.stdout);
    Ok(())
}

fn say(text: &str) {
    println!("==> {text}");
}

/// What the reader has seen, over both daemons.
#[derive(Debug, Default)]
struct Reading {
    tokens: u32,
    mark: Option<String>,
    last_event_id: String,
    done: bool,
}

impl Reading {
    /// Reads until `upto` tokens are there or the stream ends.
    async fn read(&mut self, reader: &mut Reader, upto: u32) -> Result<(), Failure> {
        if reader.status != 200 {
            return Err(Failure::Refused { status: reader.status });
        }
        while self.tokens < upto || !self.done && upto == TOKENS {
            match reader.next().await {
                Some(event) => self.take(&event)?,
                None => break,
            }
        }
        Ok(())
    }

    fn take(&mut self, event: &SseEvent) -> Result<(), Failure> {
        if event.data == "[DONE]" {
            self.done = true;
            return Ok(());
        }
        let text = event.text();
        // The event at the end of a generation has no text.
        let Some((mark, _)) = text.split_once('.') else { return Ok(()) };
        let mark = self.mark.get_or_insert_with(|| mark.to_owned());
        let expected = format!("{mark}.{} ", self.tokens);
        if text != expected {
            return Err(Failure::WrongToken { expected, found: text });
        }
        self.tokens += 1;
        self.last_event_id.clone_from(&event.id);
        print!("{text}");
        std::io::stdout().flush()?;
        Ok(())
    }
}
