use std::sync::Arc;

use arc_swap::ArcSwap;
use comfreymast_base::DataCentre;
use comfreymast_decide::data_centres::Evacuations;
use event_listener::Event;

/// The evacuated data centres, read on the request path. Each change replaces the whole snapshot.
#[derive(Debug, Default)]
pub(crate) struct EvacuationState {
    evacuations: ArcSwap<Evacuations>,
    /// Notified at each change.
    changed: Event,
}

impl EvacuationState {
    /// The current evacuations.
    pub(crate) fn load(&self) -> arc_swap::Guard<Arc<Evacuations>> {
        self.evacuations.load()
    }

    /// Replaces the evacuations. Called with the operators' feed locked, so one change at a time.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut Evacuations) -> T) -> T {
        let mut evacuations = Evacuations::clone(&self.load());
        let changed = change(&mut evacuations);
        self.evacuations.store(Arc::new(evacuations));
        self.changed.notify(usize::MAX);
        changed
    }

    /// Completes once a data centre is evacuated.
    pub(crate) async fn wait_evacuated(&self, data_centre: &DataCentre) {
        loop {
            // Registered before the check, so that no change is missed.
            let changed = self.changed.listen();
            if self.load().is_evacuated(data_centre) {
                return;
            }
            changed.await;
        }
    }
}
