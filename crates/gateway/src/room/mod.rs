//! Streams that wait for an engine with room: one queue for each service, decided in `decide/room/`.

mod drive;
mod engine_priority;
mod outcome_log;
mod queue_news;
mod rooms;
mod service_room;
mod signal;
mod stream_need;
mod upstreams_view;

pub(crate) use engine_priority::{continued_priority, first_priority};
pub(crate) use queue_news::{QueueNews, message as queue_message};
pub(crate) use rooms::{Rooms, wait_for_room};
pub(crate) use service_room::{Granted, RoomOutcome};
pub(crate) use signal::RoomSignal;
pub(crate) use stream_need::{StreamNeed, room_request};
