use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use comfreymast_base::Service;
use comfreymast_decide::room::engine_priority::PriorityLevels;
use comfreymast_decide::room::order::RoomRequest;
use comfreymast_decide::room::peers::{Elsewhere, WaitLoads};
use comfreymast_fleet::Configuration;

use super::drive::drive;
use super::service_room::{RoomOutcome, ServiceRoom};
use super::stream_need::StreamNeed;
use crate::dispatch::Dispatch;
use crate::generation::Reservation;

/// The queues of all services.
#[derive(Debug, Default)]
pub(crate) struct Rooms {
    by_service: Mutex<HashMap<Service, Arc<ServiceRoom>>>,
    priority_levels: AtomicU16,
}

impl Rooms {
    /// Applies the priorities that a configuration uses.
    pub(crate) fn apply_configuration(&self, configuration: &Configuration) {
        let routes = configuration.routes.iter().map(|route| route.priority);
        let holders = configuration.keyring.holders().filter_map(|holder| holder.priority);
        let levels = PriorityLevels::of(routes.chain(holders));
        self.priority_levels.store(levels.bits(), Ordering::Release);
    }

    /// The priorities in use.
    pub(crate) fn priority_levels(&self) -> PriorityLevels {
        PriorityLevels::from_bits(self.priority_levels.load(Ordering::Acquire))
    }

    /// Learns from the stream `request` that ended and held `reservation`.
    pub(crate) fn record_end(
        &self,
        dispatch: &Dispatch,
        service: &Service,
        request: &RoomRequest,
        reservation: &Reservation,
    ) {
        let held_ms = reservation.held_ms(dispatch.clock.now_ms());
        self.of_service(dispatch, service).record_end(request.work_ms(), held_ms);
    }

    /// What waits here, by service.
    pub(crate) fn loads(&self) -> Vec<(Service, WaitLoads)> {
        let by_service = self.by_service.lock().unwrap_or_else(PoisonError::into_inner);
        let rooms: Vec<_> = by_service.values().cloned().collect();
        // Not held while a queue is locked: news are applied while one is.
        drop(by_service);
        let loads = rooms.iter().map(|room| (room.service.clone(), room.loads()));
        loads.filter(|(_, loads)| !loads.is_empty()).collect()
    }

    /// Replaces what is known to wait at other daemons.
    pub(crate) fn set_elsewhere(
        &self,
        dispatch: &Dispatch,
        mut queues: BTreeMap<String, WaitLoads>,
    ) {
        let now_ms = dispatch.clock.now_ms();
        let by_service = self.by_service.lock().unwrap_or_else(PoisonError::into_inner);
        for (service, room) in by_service.iter() {
            let loads = queues.remove(service.as_str()).unwrap_or_default();
            room.set_elsewhere(Elsewhere::new(loads, now_ms));
        }
        drop(by_service);
        // These have no queue here yet.
        for (service, loads) in queues {
            let room = self.of_service(dispatch, &Service::from(service));
            room.set_elsewhere(Elsewhere::new(loads, now_ms));
        }
    }

    fn of_service(&self, dispatch: &Dispatch, service: &Service) -> Arc<ServiceRoom> {
        let mut by_service = self.by_service.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(room) = by_service.get(service) {
            return room.clone();
        }
        let signal = dispatch.directory.shared_state(service).room;
        let room = Arc::new(ServiceRoom::new(service.clone(), signal));
        by_service.insert(service.clone(), room.clone());
        room
    }
}

/// Waits until a stream of `service` has an engine, or waits no longer.
pub(crate) async fn wait_for_room(
    dispatch: &Arc<Dispatch>,
    service: &Service,
    need: StreamNeed,
) -> RoomOutcome {
    let room = dispatch.rooms.of_service(dispatch, service);
    if let Some(outcome) = room.start_at_once(dispatch, &need) {
        return outcome;
    }
    let request = need.request.clone();
    let (waiting, must_drive) = room.enter(need);
    if must_drive {
        dispatch.spawner.detach(drive(dispatch.clone(), room.clone()));
    }
    match waiting.outcome.recv().await {
        Ok(outcome) => outcome,
        // The sender is dropped only after it has sent an outcome.
        Err(_) => RoomOutcome::full_unknown(&request, dispatch.clock.now_ms()),
    }
}
