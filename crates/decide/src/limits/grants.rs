use std::collections::{BTreeMap, BTreeSet};

use comfreymast_base::DaemonName;

use super::{Grant, LimitOptions};

/// What a holder tells the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The generation of the last grant that reached it.
    pub generation: u64,
    /// Slots leased or in use, whichever is more.
    pub slots_held: u32,
    /// Slots it could use now.
    pub slots_wanted: u32,
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    /// What the holder may believe it has.
    held: u32,
    /// The generation of the owner's last grant to it.
    generation: u64,
    wanted: u32,
    expires_ms: u64,
}

/// Who holds how many slots of one organisation, as its owner sees it.
///
/// What all holders may believe they have never exceeds the pool while one owner acts. A new
/// owner grants nothing beyond what is held until it has heard every daemon, or until every older
/// lease has ended.
#[derive(Clone, Debug)]
pub struct Grants {
    options: LimitOptions,
    generation: u64,
    quiet_until_ms: u64,
    unheard: BTreeSet<DaemonName>,
    holdings: BTreeMap<DaemonName, Holding>,
}

impl Grants {
    /// Takes over at `now_ms`. `generation` should be above that of earlier owners; `daemons` are
    /// those that may hold slots of one.
    #[must_use]
    pub fn take_over(
        options: LimitOptions,
        generation: u64,
        daemons: BTreeSet<DaemonName>,
        now_ms: u64,
    ) -> Self {
        Self {
            options,
            generation,
            quiet_until_ms: now_ms + options.lease_ms,
            unheard: daemons,
            holdings: BTreeMap::new(),
        }
    }

    /// The generation of the last grant. It rises with each.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// True while another daemon may hold slots that this owner does not know of.
    #[must_use]
    pub fn is_taking_over(&self, now_ms: u64) -> bool {
        !self.unheard.is_empty() && now_ms < self.quiet_until_ms
    }

    /// Slots that holders may believe they have.
    #[must_use]
    pub fn held_slots(&self) -> u32 {
        self.holdings.values().map(|holding| holding.held).sum()
    }

    /// True when nobody holds or wants a slot.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.holdings.is_empty()
    }

    /// Notes that `daemon` has told all it holds, also if that is nothing.
    pub fn heard(&mut self, daemon: &DaemonName) {
        self.unheard.remove(daemon);
    }

    /// Takes in what a holder says.
    ///
    /// A report under an older generation than the last grant to the same holder was sent before
    /// that grant arrived, so it cannot shrink what the holder may believe it has.
    pub fn report(&mut self, daemon: &DaemonName, report: Report, now_ms: u64) {
        self.heard(daemon);
        // An earlier owner's clock may have been ahead of this one's.
        self.generation = self.generation.max(report.generation);
        let known = self.holdings.get(daemon).copied();
        let held = match known {
            Some(known) if report.generation < known.generation => {
                known.held.max(report.slots_held)
            }
            _ => report.slots_held,
        };
        if held == 0 && report.slots_wanted == 0 {
            self.holdings.remove(daemon);
            return;
        }
        let holding = Holding {
            held,
            generation: known.map_or(0, |known| known.generation),
            wanted: report.slots_wanted,
            expires_ms: now_ms + self.options.lease_ms,
        };
        self.holdings.insert(daemon.clone(), holding);
    }

    /// Divides `pool_slots` among the holders and returns the grant of `daemon`.
    ///
    /// Each gets its fair part of what is wanted; what another still holds above its part is not
    /// granted twice.
    pub fn grant(&mut self, daemon: &DaemonName, pool_slots: u32, now_ms: u64) -> Grant {
        self.holdings.retain(|_, holding| holding.expires_ms > now_ms);
        let is_taking_over = self.is_taking_over(now_ms);
        let lease_ms = self.options.lease_ms;
        self.generation += 1;
        let generation = self.generation;
        let fair = self.fair_part(daemon, pool_slots);
        let others: u32 =
            self.holdings.iter().filter(|(name, _)| *name != daemon).map(|(_, h)| h.held).sum();
        let free = pool_slots.saturating_sub(others);
        let Some(holding) = self.holdings.get_mut(daemon) else {
            return Grant { generation, slots: 0, lease_ms };
        };
        let granted = if is_taking_over { holding.held.min(fair) } else { fair.min(free) };
        holding.generation = generation;
        holding.held = holding.held.max(granted);
        Grant { generation, slots: granted, lease_ms }
    }

    /// The max-min fair part of one holder: nobody gets more than it wants, and what one does not
    /// want is shared by the rest.
    fn fair_part(&self, daemon: &DaemonName, pool_slots: u32) -> u32 {
        let mut by_want: Vec<_> =
            self.holdings.iter().map(|(name, holding)| (holding.wanted, name)).collect();
        by_want.sort_unstable();
        let mut left = pool_slots;
        let mut sharers = u32::try_from(by_want.len()).unwrap_or(u32::MAX);
        for (wanted, name) in by_want {
            // Rounding up serves the first; the free slots bound the sum in any case.
            let part = wanted.min(left.div_ceil(sharers.max(1)));
            if name == daemon {
                return part;
            }
            left -= part;
            sharers -= 1;
        }
        0
    }
}
