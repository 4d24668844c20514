use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use comfreymast_base::{DaemonName, Organisation};
use comfreymast_decide::limits::{Grants, LimitOptions};

use super::organisation_limit::OrganisationLimit;

/// The limits of the organisations active on this daemon, and the grants of those it owns.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    /// Options for leasing slots.
    pub(crate) options: LimitOptions,
    held: ArcSwap<HashMap<Organisation, Arc<OrganisationLimit>>>,
    owned: Mutex<Owned>,
}

/// The owner's side.
#[derive(Debug, Default)]
pub(crate) struct Owned {
    /// Live daemons as of the last check, this one included.
    pub(crate) live: BTreeSet<DaemonName>,
    /// Daemons that have reported since `live` changed.
    pub(crate) reported: BTreeSet<DaemonName>,
    /// Grants of the organisations that this daemon owns and that are in use.
    pub(crate) grants: HashMap<Organisation, Grants>,
}

impl Limits {
    /// Every organisation active on this daemon.
    pub(crate) fn held(&self) -> Arc<HashMap<Organisation, Arc<OrganisationLimit>>> {
        self.held.load_full()
    }

    /// The limit of one organisation, created on first use.
    pub(crate) fn of(&self, organisation: &Organisation) -> Arc<OrganisationLimit> {
        if let Some(limit) = self.held.load().get(organisation) {
            return limit.clone();
        }
        let fresh = Arc::new(OrganisationLimit::default());
        self.held.rcu(|held| {
            let mut held = HashMap::clone(held);
            held.entry(organisation.clone()).or_insert_with(|| fresh.clone());
            held
        });
        self.held.load().get(organisation).cloned().unwrap_or(fresh)
    }

    /// Removes the organisations for which `keep` is false.
    pub(crate) fn retain(&self, keep: impl Fn(&OrganisationLimit) -> bool) {
        if self.held.load().values().all(|limit| keep(limit)) {
            return;
        }
        self.held.rcu(|held| {
            let mut held = HashMap::clone(held);
            // A request that holds or waits for a slot shares the entry, so the entry stays.
            held.retain(|_, limit| Arc::strong_count(limit) > 2 || keep(limit));
            held
        });
    }

    /// Locks the owner's side. Requests take this lock only to ask for more slots.
    pub(crate) fn owned(&self) -> MutexGuard<'_, Owned> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
