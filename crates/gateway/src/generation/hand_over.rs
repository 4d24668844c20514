use comfreymast_base::EndMark;
use comfreymast_net::within;

use super::relay::Relay;
use crate::answer::{Event, StreamStep};
use crate::forward::{Outgoing, ask};
use crate::send::is_event_stream;

/// Going on with a stream over a peer, once this daemon has lost its links to the upstreams.
impl Relay {
    /// Relays the rest of an interrupted stream that may be resumed from a peer. `None` if its caller does
    /// not get all of it.
    pub(super) async fn hand_over(&mut self) -> Option<()> {
        if !self.dispatch.try_retry(&self.service) {
            return None;
        }
        // From now on its memory is the peer's to claim.
        self.reservation.resize(0);
        let (dispatch, call, service) =
            (self.dispatch.clone(), self.call.clone(), self.service.clone());
        let last_event = self.last_event.clone().filter(|_| self.events > 0);
        let outgoing = Outgoing {
            call: &call,
            service: &service,
            earlier_runs: self.runs,
            last_event: last_event.as_ref(),
        };
        let answer = ask(&dispatch, &outgoing, &mut Vec::new()).await?.ok()?;
        if !is_event_stream(&answer.parts) {
            return None;
        }
        self.awaits_place = self.last_event.is_some();
        let left_ms = call.remaining_ms(&dispatch.clock);
        let (mut events, _connection) = answer.into_events();
        let rest = async {
            loop {
                match events.next().await {
                    StreamStep::Event(event) => self.pass_event_on(event).await?,
                    StreamStep::BlankLines(bytes) => self.send(bytes).await.ok()?,
                    // Between daemons each body has a marked end.
                    StreamStep::End(end) => {
                        let is_whole = end.mark == EndMark::Framed
                            && !end.is_inside_event
                            && !self.lacks_event;
                        return is_whole.then_some(());
                    }
                }
            }
        };
        within(left_ms, rest).await.ok().flatten()
    }

    /// Relays an event of a peer unless it was already delivered.
    async fn pass_event_on(&mut self, event: Event) -> Option<()> {
        if self.is_delivered(&event) {
            return Some(());
        }
        if self.awaits_place && !event.has_place() {
            return None;
        }
        self.awaits_place &= event.id.is_none();
        self.lacks_event &= event.is_comment();
        self.record_place(&event);
        self.events += 1;
        self.send(event.bytes).await.ok()
    }
}
