use std::net::SocketAddr;

use comfreymast_net::{DialError, Spawner, call, empty, request};
use derive_more::{Display, Error, From};
use hyper::StatusCode;

use crate::Vm;

const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;
const READ_TIMEOUT_MS: u64 = 2_000;

/// Why the VM list could not be read.
#[derive(Debug, Display, Error, From)]
pub enum VmListError {
    /// The service could not be reached, or did not answer in time.
    #[display("the VM list is unavailable: {_0}")]
    Unavailable(DialError),
    /// The service answered with an error status.
    #[display("the VM list answered {_0}")]
    #[error(ignore)]
    Refused(StatusCode),
    /// The response body is not a list of VMs.
    #[display("the VM list does not decode: {_0}")]
    Malformed(serde_json::Error),
}

/// A client of the platform's VM list, which lags behind the actual state of the VMs.
#[derive(Clone, Debug)]
pub struct VmListClient {
    spawner: Spawner,
    addr: SocketAddr,
}

impl VmListClient {
    /// Creates a client of the list at `addr`.
    #[must_use]
    pub fn new(spawner: Spawner, addr: SocketAddr) -> Self {
        Self { spawner, addr }
    }

    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Any [`VmListError`]; the caller keeps using the last list that it read.
    pub async fn read(&self) -> Result<Vec<Vm>, VmListError> {
        let request = request(self.addr, "GET", "/vms", empty());
        let reply =
            call(&self.spawner, self.addr, request, READ_TIMEOUT_MS, MAX_REPLY_BYTES).await?;
        if !reply.status().is_success() {
            return Err(reply.status().into());
        }
        Ok(serde_json::from_slice(reply.body())?)
    }
}
