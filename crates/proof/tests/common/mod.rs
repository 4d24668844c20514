//! Fixture shared by the tests of callers, streams and overload.
#![allow(dead_code, clippy::unwrap_used)]

use comfreymast_fakes::history::History;
use comfreymast_net::Spawner;
use comfreymast_proof::checks::tokens::{check_tokens, starts_of};
use comfreymast_proof::{Client, Fleet, FleetOptions, RecordedStream, contract};

pub(crate) const KEY: &str = "key-of-estudio-norte";
pub(crate) const OTHER_KEY: &str = "key-of-atelier-syd";

/// A fleet with two contracts, a caller and the fleet's history.
pub(crate) struct Fixture {
    pub(crate) spawner: Spawner,
    pub(crate) fleet: Fleet,
    pub(crate) client: Client,
    pub(crate) history: History,
}

/// Daemon flags with timeouts short enough for a test; `extra` adds to them or replaces them.
pub(crate) fn daemon_flags(extra: &[&str]) -> Vec<String> {
    let short_timeouts = ["--silence-ms", "400", "--drain-grace-ms", "0"];
    let short_timeouts =
        short_timeouts.chunks(2).filter(|flag| !extra.contains(&flag[0])).flatten();
    let flags = short_timeouts.chain(extra).map(|flag| (*flag).to_owned());
    FleetOptions::default().daemon_flags.into_iter().chain(flags).collect()
}

impl Fixture {
    pub(crate) async fn new(spawner: &Spawner, options: FleetOptions) -> Self {
        let fleet = Fleet::start(spawner, options).await.unwrap();
        let fixture = Self {
            spawner: spawner.clone(),
            client: Client::new(spawner, KEY),
            history: fleet.history("reader").unwrap(),
            fleet,
        };
        for (organisation, key) in [("estudio-norte", KEY), ("atelier-syd", OTHER_KEY)] {
            let put = fixture.fleet.put_contract(0, &contract(organisation, key), &[]).unwrap();
            assert_eq!(put.code, 0, "{put:?}");
        }
        fixture
    }

    /// Sends a streamed request to a daemon and returns its reader.
    pub(crate) async fn read(
        &self,
        daemon: usize,
        request: u64,
        kind: &str,
        prompt: &str,
    ) -> RecordedStream {
        let addr = self.fleet.daemons[daemon].callers();
        let reading =
            RecordedStream::start(&self.client, &self.history, request, addr, kind, prompt);
        reading.await.unwrap()
    }

    /// Index of the engine that was the last to start `prompt`.
    pub(crate) async fn engine_of(&self, prompt: &str) -> usize {
        use comfreymast_fakes::history::Event;
        let find = || {
            let lines = self.fleet.lines();
            let line = lines.iter().rfind(|line| matches!(&line.event, Event::GenerationStart { prompt: ran, .. } if &**ran == prompt))?;
            self.fleet.engines.iter().position(|engine| engine.vm.name == *line.source)
        };
        self.fleet.wait_for("a run", || find().is_some()).await.unwrap();
        find().unwrap()
    }

    /// Waits until engines have started a prompt `starts` times, continuations included.
    pub(crate) async fn wait_for_starts(&self, prompt: &str, starts: usize) {
        let has_started = || starts_of(&self.fleet.lines(), prompt) >= starts;
        self.fleet.wait_for("another start", has_started).await.unwrap();
    }

    /// Asserts that every reader saw only whole tokens of its own generation.
    pub(crate) fn assert_tokens_valid(&self) {
        assert_eq!(check_tokens(&self.fleet.lines()), []);
    }

    /// The log of a daemon, for the messages of failed assertions.
    pub(crate) fn log_of(&self, daemon: usize) -> String {
        self.fleet.read(&format!("d{daemon}.err"))
    }
}

/// Runs a test on two executor threads.
pub(crate) fn run<F: Future<Output = ()>>(test: impl FnOnce(Spawner) -> F) {
    Spawner::run(2, test);
}
