use std::future::Future;
use std::net::SocketAddr;

use async_net::TcpStream;
use comfreymast_net::{Body, Spawner, full};
use eventsource_stream::Eventsource;
use http_body_util::BodyDataStream;
use hyper::Request;
use hyper::client::conn::http2::{SendRequest, handshake};
use hyper::header::AUTHORIZATION;
use hyper::rt::Executor;
use smol_hyper::rt::FuturesIo;

use crate::Reader;
use crate::process::ProofError;

/// One HTTP/2 connection of a caller.
#[derive(Clone, Debug)]
pub struct Http2 {
    addr: SocketAddr,
    key: String,
    sender: SendRequest<Body>,
}

#[derive(Clone)]
struct SpawnerExecutor(Spawner);

impl<F: Future<Output: Send> + Send + 'static> Executor<F> for SpawnerExecutor {
    fn execute(&self, task: F) {
        self.0.detach(async move {
            task.await;
        });
    }
}

impl Http2 {
    /// Connects to a daemon as the holder of `key`.
    ///
    /// # Errors
    ///
    /// [`ProofError::Io`] or [`ProofError::Http`].
    pub async fn connect(
        spawner: &Spawner,
        addr: SocketAddr,
        key: &str,
    ) -> Result<Self, ProofError> {
        let stream = TcpStream::connect(addr).await?;
        let (sender, connection) =
            handshake(SpawnerExecutor(spawner.clone()), FuturesIo::new(stream)).await?;
        spawner.detach(async move {
            let _ = connection.await;
        });
        Ok(Self { addr, key: key.to_owned(), sender })
    }

    /// Sends a request on this connection and reads its answer as a stream.
    ///
    /// # Errors
    ///
    /// [`ProofError::Http`] when the connection accepts no more requests.
    pub async fn open(
        &mut self,
        method: &str,
        path: &str,
        body: String,
    ) -> Result<Reader, ProofError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .body(full(body))?;
        self.sender.ready().await?;
        let (head, body) = self.sender.send_request(request).await?.into_parts();
        let events = Box::pin(BodyDataStream::new(body).eventsource());
        Ok(Reader::new(head.status.as_u16(), head.headers, events))
    }
}
