const BUCKETS: usize = 12;
const BUCKET_MS: u64 = 500;
/// A daemon that has told nothing for this long has been suspended; others may have divided its share.
const MAX_SILENCE_MS: u64 = 1_000;

/// How many requests to one service a daemon told others of in its heartbeats.
#[derive(Clone, Debug, Default)]
pub struct ToldRequests {
    first_ms: Option<u64>,
    last_ms: u64,
    newest: u64,
    /// The fewest in each span of [`BUCKET_MS`].
    fewest: [Option<u64>; BUCKETS],
}

impl ToldRequests {
    /// Records what a heartbeat says.
    pub fn record(&mut self, requests: u64, now_ms: u64) {
        if self.first_ms.is_none() || now_ms.saturating_sub(self.last_ms) > MAX_SILENCE_MS {
            *self = Self { first_ms: Some(now_ms), ..Self::default() };
        }
        self.last_ms = now_ms;
        let current = now_ms / BUCKET_MS;
        for step in 0..current.saturating_sub(self.newest).min(BUCKETS as u64) {
            self.fewest[((current - step) % BUCKETS as u64) as usize] = None;
        }
        self.newest = current;
        let bucket = &mut self.fewest[(current % BUCKETS as u64) as usize];
        *bucket = Some(bucket.map_or(requests, |fewest| fewest.min(requests)));
    }

    /// The fewest requests that were told in the last `span_ms`, six seconds at most: others have heard of that many
    /// at least. 0 unless that much was told for all of that time.
    #[must_use]
    pub fn fewest(&self, span_ms: u64, now_ms: u64) -> u64 {
        let is_heard = now_ms.saturating_sub(self.last_ms) <= MAX_SILENCE_MS;
        let has_told = self.first_ms.is_some_and(|ms| now_ms.saturating_sub(ms) >= span_ms);
        if !is_heard || !has_told {
            return 0;
        }
        let spans = (span_ms.div_ceil(BUCKET_MS) + 1).min(BUCKETS as u64).min(self.newest + 1);
        let recent = (0..spans).map(|step| (self.newest - step) % BUCKETS as u64);
        recent.filter_map(|index| self.fewest[index as usize]).min().unwrap_or(0)
    }
}
