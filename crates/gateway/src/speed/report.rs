use comfreymast_decide::speed::SpeedReport;
use comfreymast_wire::news::EngineUse;

const PERCENT: f64 = 100.0;
const MAX_AGE_MS: u64 = 10_000;

/// The fields of a peer message that tell how slow an engine is; all 0 if that is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReportFields {
    pub(crate) slowness_percent: u32,
    pub(crate) age_ms: u32,
    pub(crate) weight_ms: u32,
}

impl ReportFields {
    /// The fields of a message that is sent at `now_ms`. Reports that are too old are not sent.
    pub(crate) fn of(report: Option<SpeedReport>, now_ms: u64) -> Self {
        let Some(report) = report else { return Self::default() };
        let age_ms = now_ms.saturating_sub(report.heard_ms);
        if age_ms > MAX_AGE_MS {
            return Self::default();
        }
        Self {
            slowness_percent: (report.slowness * PERCENT).round() as u32,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            weight_ms: report.weight_ms as u32,
        }
    }

    /// What `told`, which arrived at `received_ms`, says of the engine's speed.
    pub(crate) fn read(told: &EngineUse, received_ms: u64) -> Option<SpeedReport> {
        let is_told = told.slowness_percent > 0 && u64::from(told.speed_age_ms) <= MAX_AGE_MS;
        is_told.then(|| SpeedReport {
            slowness: f64::from(told.slowness_percent) / PERCENT,
            weight_ms: f64::from(told.speed_weight_ms),
            heard_ms: received_ms.saturating_sub(u64::from(told.speed_age_ms)),
        })
    }

    /// True if it is told of an engine that runs nothing: one of usual speed needs no mention.
    pub(crate) fn is_notable(self) -> bool {
        const USUAL_PERCENT: std::ops::Range<u32> = 85..118;
        self.slowness_percent > 0 && !USUAL_PERCENT.contains(&self.slowness_percent)
    }
}
