use comfreymast_burn::{Indicator, Recorder, Sample, SeriesKey};
use comfreymast_wire::peer::BurnCounts;
use prost::Message;

use super::linear_fit::LinearFit;
use crate::failure::Failure;
use crate::usage::Usage;

const SERIES: [usize; 3] = [10, 1_000, 8_700];
const GAPS: u32 = 64;
const SLOT_MS: u64 = 300_000;
const SLOTS: u64 = 12;

pub(super) fn run() -> Result<(), Failure> {
    let mut resident = LinearFit::new("resident_bytes");
    let mut message = LinearFit::new("reply_bytes");
    for series in SERIES {
        let before = Usage::of(std::process::id())?.resident_bytes;
        let mut recorder = Recorder::default();
        for index in 0..series {
            record_hour(&mut recorder, &SeriesKey::new(&format!("organisation-{index}"), "report"));
        }
        let after = Usage::of(std::process::id())?.resident_bytes;
        resident.add(series, after.saturating_sub(before) as f64);
        let counts = recorder.counts("d0", SLOTS * SLOT_MS);
        message.add(series, BurnCounts::from(&counts).encoded_len() as f64);
    }
    resident.print();
    message.print();
    Ok(())
}

/// Records traffic in every slot of an hour, with token gaps from 8 to 71 ms.
fn record_hour(recorder: &mut Recorder, key: &SeriesKey) {
    for slot in 0..SLOTS {
        let now_ms = slot * SLOT_MS;
        recorder.record(Sample::first_token(key.clone(), 300, 560), now_ms);
        recorder.record(Sample::gaps(key.clone(), (8..8 + GAPS).collect(), 57), now_ms);
        for indicator in [Indicator::Stall, Indicator::Whole, Indicator::Refused] {
            recorder.record(Sample::outcome(key.clone(), indicator, false), now_ms);
        }
    }
}
