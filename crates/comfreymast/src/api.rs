use std::net::SocketAddr;

use bytes::Bytes;
use comfreymast_daemon::operators::OperatorError;
use comfreymast_net::{Body, Spawner, call, request};
use hyper::header::{AUTHORIZATION, HeaderValue};

use crate::failure::Failure;
use crate::flags::Comfreymast;

const CALL_TIMEOUT_MS: u64 = 15_000;
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;
const THREADS: usize = 1;

/// Client of the operators' API of one daemon.
#[derive(Clone, Debug)]
pub(crate) struct ApiClient {
    addr: SocketAddr,
    authorization: HeaderValue,
}

impl ApiClient {
    /// Creates a client with the address and key from the flags or the environment.
    pub(crate) fn new(flags: &Comfreymast) -> Result<Self, Failure> {
        let addr = flag_or_env(flags.operators.as_deref(), "COMFREYMAST_OPERATORS").ok_or(
            Failure::Usage { flag: "--operators", rule: "give IP:PORT, or COMFREYMAST_OPERATORS" },
        )?;
        let addr = addr
            .parse()
            .map_err(|_| Failure::Usage { flag: "--operators", rule: "must be IP:PORT" })?;
        let key = flag_or_env(flags.operator_key.as_deref(), "COMFREYMAST_OPERATOR_KEY").ok_or(
            Failure::Usage {
                flag: "--operator-key",
                rule: "give the key, or COMFREYMAST_OPERATOR_KEY",
            },
        )?;
        let authorization = HeaderValue::from_str(&format!("Bearer {key}"))
            .map_err(|_| Failure::Usage { flag: "--operator-key", rule: "must be one line" })?;
        Ok(Self { addr, authorization })
    }

    /// Makes one call. A status other than success is returned as [`Failure::Operator`].
    pub(crate) fn call(&self, method: &str, path: &str, body: Body) -> Result<Bytes, Failure> {
        let mut request = request(self.addr, method, path, body);
        request.headers_mut().insert(AUTHORIZATION, self.authorization.clone());
        let reply = Spawner::run(THREADS, |spawner| async move {
            call(&spawner, self.addr, request, CALL_TIMEOUT_MS, MAX_REPLY_BYTES).await
        })?;
        if reply.status().is_success() {
            return Ok(reply.into_body());
        }
        let error = serde_json::from_slice(reply.body()).unwrap_or_else(|_| OperatorError {
            code: "unexpected".to_owned(),
            message: format!("the daemon answered {}", reply.status()),
            operation: None,
        });
        Err(error.into())
    }
}

/// Returns the value of a flag or, without one, of its environment variable.
pub(crate) fn flag_or_env(flag: Option<&str>, variable: &str) -> Option<String> {
    let from_environment =
        || std::env::var_os(variable).map(|value| value.to_string_lossy().into_owned());
    flag.map(str::to_owned).or_else(from_environment)
}
