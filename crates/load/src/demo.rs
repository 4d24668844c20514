//! Starts a fleet on this machine, publishes a contract, streams a generation and kills the daemon
//! that streams it. The reader continues at another daemon and receives every token once.

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
    print_step("starting a log service, a VM list, two engines, a plain service and three daemons");
    let options = FleetOptions {
        engine_flags: vec!["--step-us".to_owned(), ENGINE_STEP_US.to_owned()],
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(spawner, options).await?;
    publish(&fleet)?;
    let client = Client::new(spawner, KEY);

    print_step("streaming a generation from daemon d0");
    let mut progress = Progress::default();
    let mut reader = client.stream(fleet.daemons[0].callers(), "m", PROMPT, &[]).await?;
    progress.read(&mut reader, TOKENS_BEFORE_KILL).await?;

    fleet.daemons[0].process.kill();
    println!();
    print_step("daemon d0 was killed; the reader gives its last event id to daemon d1");
    // Tokens that d0 sent before it was killed are still read.
    while let Some(event) = reader.next().await {
        progress.add_event(&event)?;
    }
    let headers = [("last-event-id", progress.last_event_id.as_str())];
    let mut reader = client.stream(fleet.daemons[1].callers(), "m", PROMPT, &headers).await?;
    progress.read(&mut reader, TOKENS).await?;
    println!();
    if progress.tokens != TOKENS || !progress.done {
        return Err(Failure::Incomplete { tokens: progress.tokens });
    }
    print_step("all 120 tokens were read once, in order, from one generation");
    Ok(())
}

fn publish(fleet: &Fleet) -> Result<(), Failure> {
    let contract = include_str!("demo.toml").replace("HASH", &KeyHash::of(KEY).to_string());
    print_step("comfreymast contract put demo.toml");
    let output = fleet.put_contract(0, &contract, &[])?;
    if output.code != 0 {
        return Err(Failure::Command { code: output.code, stderr: output.stderr });
    }
    print!("{}", output.stdout);
    Ok(())
}

fn print_step(text: &str) {
    println!("==> {text}");
}

/// What the reader has received from both daemons.
#[derive(Debug, Default)]
struct Progress {
    tokens: u32,
    /// The part of each token's text that identifies the generation.
    mark: Option<String>,
    last_event_id: String,
    done: bool,
}

impl Progress {
    /// Reads until `target_tokens` tokens are received or the stream ends. With [`TOKENS`], the end
    /// event is read as well.
    async fn read(&mut self, reader: &mut Reader, target_tokens: u32) -> Result<(), Failure> {
        if reader.status != 200 {
            return Err(Failure::Refused { status: reader.status });
        }
        while self.tokens < target_tokens || !self.done && target_tokens == TOKENS {
            match reader.next().await {
                Some(event) => self.add_event(&event)?,
                None => break,
            }
        }
        Ok(())
    }

    fn add_event(&mut self, event: &SseEvent) -> Result<(), Failure> {
        if event.data == "[DONE]" {
            self.done = true;
            return Ok(());
        }
        let text = event.text();
        // The last event of a generation has no text.
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
