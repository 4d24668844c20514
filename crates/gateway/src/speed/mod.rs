//! How slow engines are: observed on the streams that this daemon relays, told to other daemons in
//! heartbeats and summaries, and compared within each service.

mod judge;
mod report;
mod state;
mod stream_pace;

pub(crate) use judge::update_speeds;
pub(crate) use report::ReportFields;
pub(crate) use state::EngineSpeed;
pub(crate) use stream_pace::{StreamPace, StreamSend};
