use std::net::SocketAddr;

use comfreymast_base::OperationId;
use comfreymast_net::{DialError, Query, Spawner};

use crate::client::{Answer, Client};
use crate::fleet::{DaemonProcess, OPERATOR_KEY};

/// An operator that calls the operators' ports without the `comfreymast` command.
#[derive(Clone, Debug)]
pub struct Operator {
    client: Client,
}

/// One change of a contract.
#[derive(Clone, Debug)]
pub struct Change {
    /// The organisation whose contract it changes.
    pub organisation: String,
    /// The revision on which it is based.
    pub base: u64,
    /// The document.
    pub document: String,
    /// Its operation id.
    pub operation: OperationId,
}

impl Operator {
    /// An operator with the fleet's operator key.
    #[must_use]
    pub fn new(spawner: &Spawner) -> Self {
        Self { client: Client::new(spawner, OPERATOR_KEY) }
    }

    /// Publishes a change; `first` is true at the first attempt of its operation.
    ///
    /// # Errors
    ///
    /// [`DialError`] when the connection broke.
    pub async fn put(
        &self,
        daemon: SocketAddr,
        change: &Change,
        first: bool,
    ) -> Result<Answer, DialError> {
        let query = Query::default()
            .with("base", &change.base.to_string())
            .with("operation", &change.operation.to_string())
            .with("first", &first.to_string());
        let path = format!("/contracts/{}?{query}", change.organisation);
        self.client.call(daemon, "PUT", &path, &[], &change.document).await
    }

    /// Reads a page of the operators' port.
    ///
    /// # Errors
    ///
    /// [`DialError`] when the connection broke.
    pub async fn get(&self, daemon: SocketAddr, path: &str) -> Result<Answer, DialError> {
        self.client.call(daemon, "GET", path, &[], "").await
    }

    /// The revision of a contract that is in force on a daemon; 0 when the daemon has none or does
    /// not answer.
    pub async fn revision(&self, daemon: &DaemonProcess, organisation: &str) -> u64 {
        let answer = self.get(daemon.operators(), &format!("/contracts/{organisation}")).await;
        answer.map_or(0, |answer| answer.json()["revision"].as_u64().unwrap_or(0))
    }

    /// One field of a daemon's status; null when the daemon does not answer.
    pub async fn status(&self, daemon: &DaemonProcess, field: &str) -> serde_json::Value {
        let answer = self.get(daemon.operators(), "/status").await;
        answer.map_or(serde_json::Value::Null, |answer| answer.json()[field].clone())
    }
}
