use std::collections::{BTreeMap, BTreeSet};

use comfreymast_base::DaemonName;

use super::{Grant, LimitOptions};

/// A holder's report to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderReport {
    /// The generation of the last grant that the holder received.
    pub generation: u64,
    /// Number of slots leased or in use, whichever is more.
    pub slots_held: u32,
    /// Number of slots that the holder could use now.
    pub slots_wanted: u32,
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    /// Upper bound on the slots that the holder may consider leased to it.
    held: u32,
    /// The generation of the owner's last grant to it.
    generation: u64,
    wanted: u32,
    expires_ms: u64,
}

/// The owner's record of which daemon holds how many slots of one organisation.
///
/// While there is a single owner, the slots that all holders may consider leased to them never
/// exceed the pool. A new owner grants no slots beyond those already held until every daemon has
/// reported or every older lease has expired.
#[derive(Clone, Debug)]
pub struct Grants {
    options: LimitOptions,
    generation: u64,
    takeover_until_ms: u64,
    unreported: BTreeSet<DaemonName>,
    holdings: BTreeMap<DaemonName, Holding>,
}

impl Grants {
    /// Takes over at `now_ms`. `generation` should be higher than that of earlier owners; `daemons`
    /// are those that may hold slots granted by one.
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
            takeover_until_ms: now_ms + options.lease_ms,
            unreported: daemons,
            holdings: BTreeMap::new(),
        }
    }

    /// The generation of the last grant. It increases with each grant.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns true while a daemon may hold slots that this owner does not know of.
    #[must_use]
    pub fn is_taking_over(&self, now_ms: u64) -> bool {
        !self.unreported.is_empty() && now_ms < self.takeover_until_ms
    }

    /// Upper bound on the slots that all holders may consider leased to them.
    #[must_use]
    pub fn held_slots(&self) -> u32 {
        self.holdings.values().map(|holding| holding.held).sum()
    }

    /// Returns true if no daemon holds or wants a slot.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.holdings.is_empty()
    }

    /// Marks that `daemon` has reported everything it holds, even if that is nothing.
    pub fn mark_reported(&mut self, daemon: &DaemonName) {
        self.unreported.remove(daemon);
    }

    /// Applies a report of a holder.
    ///
    /// A report with an older generation than the last grant to the same holder was sent before
    /// that grant arrived, so it cannot lower the number of slots counted as held.
    pub fn apply_report(&mut self, daemon: &DaemonName, report: HolderReport, now_ms: u64) {
        self.mark_reported(daemon);
        // Generations start from the owner's clock; an earlier owner's clock may have been ahead.
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
    /// Each gets its max-min fair share of the pool; slots that others still hold above their share
    /// are not granted again.
    pub fn grant(&mut self, daemon: &DaemonName, pool_slots: u32, now_ms: u64) -> Grant {
        self.holdings.retain(|_, holding| holding.expires_ms > now_ms);
        let is_taking_over = self.is_taking_over(now_ms);
        let lease_ms = self.options.lease_ms;
        self.generation += 1;
        let generation = self.generation;
        let fair_slots = self.fair_share(daemon, pool_slots);
        let held_by_others: u32 =
            self.holdings.iter().filter(|(name, _)| *name != daemon).map(|(_, h)| h.held).sum();
        let free_slots = pool_slots.saturating_sub(held_by_others);
        let Some(holding) = self.holdings.get_mut(daemon) else {
            return Grant { generation, slots: 0, lease_ms };
        };
        let granted =
            if is_taking_over { holding.held.min(fair_slots) } else { fair_slots.min(free_slots) };
        holding.generation = generation;
        holding.held = holding.held.max(granted);
        Grant { generation, slots: granted, lease_ms }
    }

    /// The max-min fair share of one holder: no holder gets more than it wants, and slots that one
    /// does not want are divided among the others.
    fn fair_share(&self, daemon: &DaemonName, pool_slots: u32) -> u32 {
        let mut by_demand: Vec<_> =
            self.holdings.iter().map(|(name, holding)| (holding.wanted, name)).collect();
        by_demand.sort_unstable();
        let mut remaining_slots = pool_slots;
        let mut remaining_holders = u32::try_from(by_demand.len()).unwrap_or(u32::MAX);
        for (wanted, name) in by_demand {
            // Rounding up favours the first; `grant` limits the sum to the free slots in any case.
            let share = wanted.min(remaining_slots.div_ceil(remaining_holders.max(1)));
            if name == daemon {
                return share;
            }
            remaining_slots -= share;
            remaining_holders -= 1;
        }
        0
    }
}
