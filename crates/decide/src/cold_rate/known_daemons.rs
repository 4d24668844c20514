/// The number of daemons that one assumes that does not know how many there are: the largest fleet that is supported.
pub const MAX_DAEMONS: u64 = 320;

/// How long a daemon that starts may not know its peers.
const SETTLE_MS: u64 = 1_500;
/// For how long daemons count that are not heard any more. They may be cut off, and run.
const MEMORY_MS: u64 = 300_000;
const BUCKETS: usize = 10;
const BUCKET_MS: u64 = MEMORY_MS / BUCKETS as u64;

/// What a daemon hears of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Membership {
    /// How many daemons it hears, itself included.
    pub heard: u64,
    /// The most that any of them says it knew lately; 0 if none of them says.
    pub told: u64,
    /// True if there may be others: the settings name some.
    pub has_seeds: bool,
}

/// How many daemons there are or were lately, as far as one knows.
#[derive(Clone, Debug, Default)]
pub struct KnownDaemons {
    newest: u64,
    /// The most that were heard at a time, by span of [`BUCKET_MS`].
    most: [u64; BUCKETS],
    is_settled: bool,
}

impl KnownDaemons {
    /// Records what is heard. `uptime_ms` is also the time: it does not go back.
    pub fn record(&mut self, membership: &Membership, uptime_ms: u64) {
        let current = uptime_ms / BUCKET_MS;
        let passed = current.saturating_sub(self.newest).min(BUCKETS as u64);
        for step in 0..passed {
            self.most[((current - step) % BUCKETS as u64) as usize] = 0;
        }
        self.newest = self.newest.max(current);
        let bucket = &mut self.most[(self.newest % BUCKETS as u64) as usize];
        *bucket = (*bucket).max(membership.heard);
        // A daemon that never heard another one cannot know how many there are.
        let has_met = !membership.has_seeds || membership.heard > 1;
        let has_time = uptime_ms >= SETTLE_MS || membership.told > 0 || !membership.has_seeds;
        self.is_settled |= has_met && has_time;
    }

    /// The number of daemons to divide a rate by.
    #[must_use]
    pub fn count(&self, membership: &Membership) -> u64 {
        let known = self.own_most().max(membership.told).max(membership.heard).max(1);
        if self.is_settled { known } else { known.max(MAX_DAEMONS) }
    }

    /// What this daemon tells others: the most that it heard itself, 0 while it may not know its peers. What it was
    /// told is not passed on, so that old words do not circle.
    #[must_use]
    pub fn told(&self) -> u64 {
        if self.is_settled { self.own_most() } else { 0 }
    }

    fn own_most(&self) -> u64 {
        self.most.iter().copied().max().unwrap_or(0)
    }
}
