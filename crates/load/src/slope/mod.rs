//! Slopes for docs/CAPACITY.md: what a daemon uses at a few sizes, and the line through them.
//!
//! * [`contracts`] — memory, cold start and the cost of a change, over contracts.
//! * [`upstreams`] — processor time, memory and bytes, over upstreams.
//! * [`daemons`] — processor time, memory and bytes between daemons, over daemons.
//! * [`records`] — lengths of records and messages.
//! * [`burn`] — memory and message of the burn report, over kinds of work with traffic.

mod burn;
mod contracts;
mod daemons;
mod line;
mod records;
mod upstreams;

use comfreymast_net::Spawner;

use crate::failure::Failure;

/// Runs the slope of this name.
pub(crate) async fn run(spawner: &Spawner, name: &str) -> Result<(), Failure> {
    match name {
        "contracts" => contracts::run(spawner).await,
        "upstreams" => upstreams::run(spawner).await,
        "daemons" => daemons::run(spawner).await,
        "burn" => burn::run(),
        "records" => {
            records::run();
            Ok(())
        }
        _ => Err(Failure::NoSlope { name: name.to_owned() }),
    }
}
