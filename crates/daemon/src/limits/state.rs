use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use comfreymast_base::{DaemonName, Organisation};
use comfreymast_decide::limits::{Grants, LimitOptions};

use super::organisation_limit::OrganisationLimit;

/// What this daemon holds of the organisations active here, and grants of those it owns.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    /// How slots are leased.
    pub(crate) options: LimitOptions,
    held: ArcSwap<HashMap<Organisation, Arc<OrganisationLimit>>>,
    owned: Mutex<Owned>,
}

/// The owner's side.
#[derive(Debug, Default)]
pub(crate) struct Owned {
    /// Daemons that live, this one included, as of the last look.
    pub(crate) live: BTreeSet<DaemonName>,
    /// Daemons that have reported since `live` changed.
    pub(crate) reported: BTreeSet<DaemonName>,
    /// Grants of the organisations this daemon owns and somebody uses.
    pub(crate) grants: HashMap<Organisation, Grants>,
}

impl Limits {
    /// Every organisation active here.
    pub(crate) fn held(&self) -> Arc<HashMap<Organisation, Arc<OrganisationLimit>>> {
        self.held.load_full()
    }

    /// The limit of one organisation, at zero if it was not active here.
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

    /// Forgets organisations for which `keep` is false.
    pub(crate) fn retain(&self, keep: impl Fn(&OrganisationLimit) -> bool) {
        if self.held.load().values().all(|limit| keep(limit)) {
            return;
        }
        self.held.rcu(|held| {
            let mut held = HashMap::clone(held);
            // A request that holds or seeks a slot shares the entry, so it stays.
            held.retain(|_, limit| Arc::strong_count(limit) > 2 || keep(limit));
            held
        });
    }

    /// The owner's side. Requests do not take this lock.
    pub(crate) fn owned(&self) -> MutexGuard<'_, Owned> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
