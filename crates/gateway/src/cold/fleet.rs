use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use comfreymast_base::Service;
use comfreymast_decide::cold_rate::{
    ColdBound, FleetView, KnownDaemons, Membership, ToldRequests, own_rate_per_s,
};
use comfreymast_decide::fleet_budget::Traffic;

use crate::dispatch::Dispatch;

/// What a heartbeat of this daemon may take to be heard by all others, or to be missed by them.
const HEARD_SPAN_MS: u64 = 1_800;
/// The same in a large fleet, where data centres send each other summaries.
const LARGE_FLEET_HEARD_SPAN_MS: u64 = 4_500;

/// What heartbeats say of how many daemons there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FleetReports {
    /// True if an address is known at which another daemon may listen.
    pub(crate) has_addresses: bool,
    /// How many other daemons are heard, directly or in summaries.
    pub(crate) peers: u64,
    /// The most that any of them says it knew lately.
    pub(crate) known: u64,
    /// The fewest that any of them hears; `None` if none says.
    pub(crate) heard: Option<u64>,
}

/// What this daemon has told others, and how many it knows.
#[derive(Debug, Default)]
pub(crate) struct ColdFleet {
    told: Mutex<HashMap<Service, ToldRequests>>,
    known: Mutex<KnownDaemons>,
}

impl ColdFleet {
    /// Records what a heartbeat that is sent now says. Returns what it says of the number of daemons: the most
    /// that this one knew lately, and those that it hears.
    pub(crate) fn record_heartbeat(
        &self,
        dispatch: &Dispatch,
        services: &[(Service, Traffic)],
    ) -> (u64, u64) {
        let now_ms = dispatch.clock.now_ms();
        let membership = membership(dispatch, &dispatch.peers.fleet_reports());
        let mut known = self.known();
        known.record(&membership, now_ms);
        let told_daemons = known.told();
        drop(known);
        let configuration = dispatch.configuration.load();
        let has_limit = |service: &Service| {
            let configuration = configuration.as_ref();
            let spec = configuration.and_then(|configuration| configuration.service(service));
            spec.is_some_and(|spec| spec.cold_per_s.is_some())
        };
        let mut told = self.told();
        told.retain(|service, _| has_limit(service));
        for (service, traffic) in services.iter().filter(|(service, _)| has_limit(service)) {
            told.entry(service.clone()).or_default().record(traffic.requests, now_ms);
        }
        (told_daemons, membership.heard)
    }

    /// The requests a second that this daemon may send to a cold upstream of `service`; `None` without a limit.
    pub(crate) fn rate_per_s(&self, dispatch: &Dispatch, service: &Service) -> Option<f64> {
        let configuration = dispatch.configuration.load();
        let per_s = configuration.as_ref()?.service(service)?.cold_per_s?;
        let settings = dispatch.settings.load();
        let bound = ColdBound { per_s, over: settings.cold_over, slack: settings.cold_slack };
        Some(own_rate_per_s(&bound, &self.view(dispatch, service)))
    }

    fn view(&self, dispatch: &Dispatch, service: &Service) -> FleetView {
        dispatch.apply_peer_updates();
        let now_ms = dispatch.clock.now_ms();
        let reports = dispatch.peers.fleet_reports();
        let membership = membership(dispatch, &reports);
        let mut known = self.known();
        known.record(&membership, now_ms);
        let daemons = known.count(&membership);
        drop(known);
        let span_ms =
            if dispatch.is_large_fleet() { LARGE_FLEET_HEARD_SPAN_MS } else { HEARD_SPAN_MS };
        let told = self.told();
        let own = told.get(service).map_or(0, |told| told.fewest(span_ms, now_ms));
        FleetView {
            daemons,
            heard: membership.heard,
            own,
            others: dispatch.budget.others(service).requests,
            may_borrow: reports.heard.is_none_or(|heard| heard >= membership.heard),
        }
    }

    fn told(&self) -> MutexGuard<'_, HashMap<Service, ToldRequests>> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn known(&self) -> MutexGuard<'_, KnownDaemons> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn membership(dispatch: &Dispatch, reports: &FleetReports) -> Membership {
    Membership {
        heard: reports.peers + 1,
        told: reports.known,
        has_seeds: dispatch.has_seeds() || reports.has_addresses,
    }
}
