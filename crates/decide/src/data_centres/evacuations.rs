use std::collections::BTreeMap;

use comfreymast_base::DataCentre;

/// How traffic returns to a data centre after its evacuation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReturnOptions {
    /// The time until its upstreams get their whole share of new work.
    pub ramp_ms: u64,
    /// The share with which it begins, so that its upstreams show early whether they work.
    pub first_share: f64,
}

impl Default for ReturnOptions {
    fn default() -> Self {
        Self { ramp_ms: 4_000, first_share: 0.1 }
    }
}

/// The evacuated data centres, and those whose evacuation has ended lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// When each evacuation was heard of; `None` if it may have begun any time before.
    active: BTreeMap<DataCentre, Option<u64>>,
    /// When each of them ended.
    returning: BTreeMap<DataCentre, u64>,
}

impl Evacuations {
    /// Records that a data centre is evacuated, since `since_ms` if that is known. True if it was not before.
    pub fn begin(&mut self, data_centre: DataCentre, since_ms: Option<u64>) -> bool {
        self.returning.remove(&data_centre);
        if self.active.contains_key(&data_centre) {
            return false;
        }
        self.active.insert(data_centre, since_ms);
        true
    }

    /// Records that an evacuation has ended at `now_ms`. True if there was one.
    pub fn end(&mut self, data_centre: &DataCentre, now_ms: u64) -> bool {
        let was_active = self.active.remove(data_centre).is_some();
        if was_active {
            self.returning.insert(data_centre.clone(), now_ms);
        }
        was_active
    }

    /// True if no data centre is evacuated or returning.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.active.is_empty() && self.returning.is_empty()
    }

    /// True while a data centre is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        self.active.contains_key(data_centre)
    }

    /// The evacuated data centres, in the order of their names.
    pub fn evacuated(&self) -> impl Iterator<Item = &DataCentre> {
        self.active.keys()
    }

    /// The time since the evacuation of a data centre was heard of; `None` if there is none, or if it may have
    /// begun any time before.
    #[must_use]
    pub fn known_for_ms(&self, data_centre: &DataCentre, now_ms: u64) -> Option<u64> {
        let since_ms = (*self.active.get(data_centre)?)?;
        Some(now_ms.saturating_sub(since_ms))
    }

    /// The part of its usual share of new work that a data centre gets, from 0 while it is evacuated to 1.
    #[must_use]
    pub fn share(&self, data_centre: &DataCentre, options: &ReturnOptions, now_ms: u64) -> f64 {
        if self.is_evacuated(data_centre) {
            return 0.0;
        }
        let Some(ended_ms) = self.returning.get(data_centre) else { return 1.0 };
        let done = now_ms.saturating_sub(*ended_ms) as f64 / options.ramp_ms.max(1) as f64;
        (options.first_share + (1.0 - options.first_share) * done).min(1.0)
    }

    /// True while some data centre gets less than its usual share, without being evacuated.
    #[must_use]
    pub fn has_returning(&self, options: &ReturnOptions, now_ms: u64) -> bool {
        self.returning.values().any(|ended_ms| now_ms < ended_ms + options.ramp_ms)
    }
}
