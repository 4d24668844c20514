use comfreymast_base::StorePosition;
use comfreymast_wire::news::{Heartbeat, Summary};

/// How far daemons are in each topic of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TopicPositions {
    /// In the operators' topic.
    pub(crate) operators: StorePosition,
    /// In the topic of upstreams.
    pub(crate) upstreams: StorePosition,
    /// In the topic of quarantines.
    pub(crate) quarantines: StorePosition,
}

impl TopicPositions {
    /// The positions of the daemon that sent a heartbeat.
    pub(crate) fn of(heartbeat: &Heartbeat) -> Self {
        let position = |era, offset| StorePosition { era, offset };
        Self {
            operators: position(heartbeat.operators_era, heartbeat.operators_offset),
            upstreams: position(heartbeat.upstreams_era, heartbeat.upstreams_offset),
            quarantines: position(heartbeat.quarantines_era, heartbeat.quarantines_offset),
        }
    }

    /// The positions of a data centre, from its summary.
    pub(crate) fn of_data_centre(summary: &Summary) -> Self {
        let position = |era, offset| StorePosition { era, offset };
        Self {
            operators: position(summary.operators_era, summary.operators_offset),
            upstreams: position(summary.upstreams_era, summary.upstreams_offset),
            quarantines: position(summary.quarantines_era, summary.quarantines_offset),
        }
    }

    /// The newer position of each topic.
    #[must_use]
    pub(crate) fn max_each(&self, other: &Self) -> Self {
        Self {
            operators: self.operators.max(other.operators),
            upstreams: self.upstreams.max(other.upstreams),
            quarantines: self.quarantines.max(other.quarantines),
        }
    }

    /// Sets the positions in a summary.
    pub(crate) fn write_to(&self, summary: &mut Summary) {
        let Self { operators, upstreams, quarantines } = self;
        (summary.operators_era, summary.operators_offset) = (operators.era, operators.offset);
        (summary.upstreams_era, summary.upstreams_offset) = (upstreams.era, upstreams.offset);
        (summary.quarantines_era, summary.quarantines_offset) =
            (quarantines.era, quarantines.offset);
    }

    /// Sets the positions in a heartbeat.
    pub(crate) fn write_to_heartbeat(&self, heartbeat: &mut Heartbeat) {
        let Self { operators, upstreams, quarantines } = self;
        (heartbeat.operators_era, heartbeat.operators_offset) = (operators.era, operators.offset);
        (heartbeat.upstreams_era, heartbeat.upstreams_offset) = (upstreams.era, upstreams.offset);
        (heartbeat.quarantines_era, heartbeat.quarantines_offset) =
            (quarantines.era, quarantines.offset);
    }
}
