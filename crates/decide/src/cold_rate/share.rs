use super::turns::TTL_MS;

/// The part of the rate that all known daemons share equally, whoever has requests.
const EQUAL_PART: f64 = 0.05;
/// The same for daemons that get nothing by their requests. Others may count as theirs what such daemons send.
const LONE_EQUAL_PART: f64 = 0.25;
/// The bound lies this many standard deviations above the mean of what many daemons with small shares send, whose
/// turns come independently of each other.
const DEVIATIONS: f64 = 6.0;
/// What one daemon with the whole rate may send beyond its mean in a second, since turns are whole.
const WHOLE_TURNS: f64 = 2.0;
const MS_PER_S: f64 = 1_000.0;

/// The requests that a cold upstream gets from all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// The rate that it tolerates, in requests a second.
    pub per_s: f64,
    /// In no second may it get more than this many times that, and `slack` more.
    pub over: f64,
    /// See `over`.
    pub slack: f64,
}

impl ColdBound {
    /// The most requests in any second.
    #[must_use]
    pub fn max_in_second(&self) -> f64 {
        self.per_s * self.over + self.slack
    }

    /// The rate that daemons with the share `own` of it use, 0 to 1: what many with small shares send varies more.
    fn used_per_s(&self, own: f64) -> f64 {
        // Turns that were held back count in the second in which they are used.
        let held_back = 1.0 + TTL_MS as f64 / MS_PER_S;
        let max = self.max_in_second().max(0.0);
        let root = ((DEVIATIONS * DEVIATIONS + 4.0 * max).sqrt() - DEVIATIONS) / 2.0;
        let scattered = (root * root / held_back).min(self.per_s);
        let whole = ((max - WHOLE_TURNS) / held_back).min(self.per_s).max(scattered);
        scattered + (whole - scattered) * own
    }
}

/// What a daemon knows of the fleet and of the requests to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetView {
    /// How many daemons there are or were lately, this one included.
    pub daemons: u64,
    /// How many of them are heard, this one included.
    pub heard: u64,
    /// This daemon's requests to the service: the fewest that it has told since others may last have heard of it.
    pub own: u64,
    /// Those of all others that are heard, by what they told last.
    pub others: u64,
    /// False if some daemon may not hear this one, so that others may count its part as theirs.
    pub may_borrow: bool,
}

impl FleetView {
    /// The share of the rate that is this daemon's.
    fn own_share(&self) -> f64 {
        let daemons = self.daemons.max(self.heard).max(1) as f64;
        if daemons <= 1.0 {
            return 1.0;
        }
        let equal = EQUAL_PART / daemons;
        if !self.may_borrow || self.own == 0 {
            return LONE_EQUAL_PART / daemons;
        }
        let in_contact = self.heard as f64 / daemons;
        let of_requests = self.own as f64 / (self.own + self.others) as f64;
        equal + (1.0 - EQUAL_PART) * in_contact * of_requests
    }
}

/// The rate at which a daemon may send to a cold upstream, in requests a second.
#[must_use]
pub fn own_rate_per_s(bound: &ColdBound, view: &FleetView) -> f64 {
    let share = view.own_share();
    share * bound.used_per_s(share)
}
