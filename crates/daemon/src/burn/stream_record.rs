use comfreymast_burn::Indicator;

use super::RequestRecord;

/// Gaps between tokens are sent to the recorder in batches of this size.
const GAPS_PER_SAMPLE: usize = 64;

/// Measures the tokens of one stream. If dropped before the stream ends, the caller counts as
/// having left.
#[derive(Debug)]
pub(crate) struct StreamRecord {
    request: RequestRecord,
    last_token_ms: Option<u64>,
    gaps_ms: Vec<u32>,
    stalled: bool,
    ended: bool,
}

impl StreamRecord {
    pub(super) fn new(request: RequestRecord) -> Self {
        Self { request, last_token_ms: None, gaps_ms: Vec::new(), stalled: false, ended: false }
    }

    /// Records that a token was received.
    pub(crate) fn token(&mut self) {
        let now_ms = self.request.now_ms();
        let wait_ms = match self.last_token_ms.replace(now_ms) {
            None => {
                let wait_ms = self.request.elapsed_ms();
                self.request.send_first_token(saturated(wait_ms));
                wait_ms
            }
            Some(last_ms) => {
                let gap_ms = now_ms.saturating_sub(last_ms);
                self.gaps_ms.push(saturated(gap_ms));
                gap_ms
            }
        };
        self.stalled |= wait_ms > self.request.level().stall_ms;
        if self.gaps_ms.len() >= GAPS_PER_SAMPLE {
            self.flush();
        }
    }

    /// Records that the last token was relayed.
    pub(crate) fn whole(mut self) {
        self.ended = true;
        self.request.whole();
    }

    /// Records that the stream ended before its last token.
    pub(crate) fn lost(mut self) {
        self.ended = true;
        self.request.lost();
    }

    fn flush(&mut self) {
        if !self.gaps_ms.is_empty() {
            self.request.send_gaps(std::mem::take(&mut self.gaps_ms));
        }
    }
}

impl Drop for StreamRecord {
    fn drop(&mut self) {
        self.flush();
        self.request.send_outcome(Indicator::Stall, self.stalled);
        if !self.ended {
            self.request.caller_left();
        }
    }
}

fn saturated(duration_ms: u64) -> u32 {
    u32::try_from(duration_ms).unwrap_or(u32::MAX)
}
