use bytes::Bytes;
use comfreymast_base::EndMark;
use comfreymast_decide::answer_end::AnswerEnd;
use comfreymast_net::{BodyFraming, BodyStep, ResponseBody};

use super::event_splitter::{Event, EventSplitter};

/// The most bytes of an event that has not ended.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The next part of a stream.
#[derive(Debug)]
pub(crate) enum StreamStep {
    /// A complete event.
    Event(Event),
    /// Blank lines after the last event.
    BlankLines(Bytes),
    /// No more arrives.
    End(AnswerEnd),
}

/// A stream of events of one upstream, in complete events only.
#[derive(Debug)]
pub(crate) struct EventStream {
    body: ResponseBody,
    splitter: EventSplitter,
    end: Option<EndMark>,
}

impl EventStream {
    /// The events in `body`.
    pub(crate) fn new(body: ResponseBody) -> Self {
        Self { body, splitter: EventSplitter::default(), end: None }
    }

    /// How its end is marked.
    pub(crate) fn framing(&self) -> BodyFraming {
        self.body.framing()
    }

    /// Bytes of an incomplete event that have arrived.
    pub(crate) fn unfinished_bytes(&self) -> usize {
        self.splitter.unfinished_bytes()
    }

    /// Waits for the next part. Dropping the future loses nothing.
    pub(crate) async fn next(&mut self) -> StreamStep {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return StreamStep::Event(event);
            }
            if let Some(mark) = self.end {
                return self.last_step(mark);
            }
            match self.body.next().await {
                BodyStep::Data(_) if self.splitter.unfinished_bytes() > MAX_EVENT_BYTES => {
                    self.end = Some(EndMark::TooLong);
                }
                BodyStep::Data(bytes) => self.splitter.push(&bytes),
                BodyStep::End(mark) => self.end = Some(mark),
            }
        }
    }

    fn last_step(&mut self, mark: EndMark) -> StreamStep {
        if let Some(blank_lines) = self.splitter.blank_rest() {
            return StreamStep::BlankLines(blank_lines);
        }
        let is_inside_event = self.unfinished_bytes() > 0;
        StreamStep::End(AnswerEnd { is_inside_event, ..AnswerEnd::of(mark) })
    }
}
