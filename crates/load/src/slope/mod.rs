//! Slopes for docs/CAPACITY.md: resource usage of a daemon at a few sizes, with a linear fit.
//!
//! * [`contracts`] — memory, cold start and CPU time of a change, by number of contracts.
//! * [`upstreams`] — CPU time, memory and control traffic, by number of upstreams.
//! * [`daemons`] — CPU time, memory and peer traffic, by number of daemons.
//! * [`records`] — encoded sizes of records and messages.
//! * [`burn`] — memory and message size of the burn report, by number of series with traffic.

mod burn;
mod contracts;
mod daemons;
mod linear_fit;
mod records;
mod upstreams;

use comfreymast_net::Spawner;

use crate::failure::Failure;

/// Runs the slope with this name.
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
        _ => Err(Failure::UnknownSlope { name: name.to_owned() }),
    }
}
