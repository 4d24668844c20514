use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use async_net::{TcpListener, UdpSocket};
use comfreymast_base::Clock;
use comfreymast_net::{Connections, Spawner, empty, handler, sleep_ms};
use comfreymast_platform::{READY_PATH, VmSettings};
use derive_more::{Display, Error};
use hyper::{Response, StatusCode};

use crate::announce::announce;
use crate::dispatch::Dispatch;
use crate::exchange::Exchange;
use crate::follow::follow;
use crate::followed_topic::FollowedTopic;
use crate::quarantine::{follow_suspects, remove_expired};
use crate::records::{follow_operators, follow_upstreams};
use crate::request_body::{caller_connections, peer_connections, watch_connections};
use crate::server::{ConnectionLimits, Server};
use crate::settings_watch::watch_settings;
use crate::topic_server::TopicServer;
use crate::{
    GatewayOptions, engine_watch, link_probe, request_handler, stream_origin, suspension_watch,
    version_records,
};

/// Why a gateway did not start.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {addr}: {source}")]
pub struct GatewayError {
    /// The address.
    pub addr: SocketAddr,
    /// The error of the operating system.
    pub source: std::io::Error,
}

/// Where a gateway listens, with the ports that the system chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// For other daemons and scrapers of metrics.
    pub peers: SocketAddr,
}

const PEER_HEAD_TIMEOUT_MS: u64 = 15_000;
const MAX_PEER_HEAD_BYTES: usize = 16 * 1024;
/// The most batches of records that may wait to be pushed to peers.
const MAX_QUEUED_DELTAS: usize = 64;

/// Runs one daemon on the platform until `stop` closes, then drains. A message on `reload` makes
/// it reload its settings. `started` is called once with the addresses.
///
/// # Errors
///
/// [`GatewayError`] when a port cannot be opened.
pub async fn run(
    spawner: Spawner,
    mut settings: VmSettings,
    settings_path: PathBuf,
    options: GatewayOptions,
    stop: Receiver<()>,
    reload: Receiver<()>,
    started: impl FnOnce(GatewayAddresses),
) -> Result<(), GatewayError> {
    let clock = Clock::system();
    let callers_listener = listen(settings.callers_addr).await?;
    let ready_listener = listen(settings.ready_addr).await?;
    let peers_listener = listen(settings.peers_addr).await?;
    settings.callers_addr = local_addr(&callers_listener, settings.callers_addr)?;
    settings.ready_addr = local_addr(&ready_listener, settings.ready_addr)?;
    settings.peers_addr = local_addr(&peers_listener, settings.peers_addr)?;
    let socket = UdpSocket::bind(settings.peers_addr)
        .await
        .map_err(|source| GatewayError { addr: settings.peers_addr, source })?;
    started(GatewayAddresses {
        callers: settings.callers_addr,
        ready: settings.ready_addr,
        peers: settings.peers_addr,
    });
    log::info!(target: "comfreymast", code = 1001, daemon = settings.name.as_str(),
        callers:% = settings.callers_addr, peers:% = settings.peers_addr,
        store:% = settings.store_addr; "daemon started");

    let store_addr = settings.store_addr;
    let seeds = settings.seed_addrs.clone();
    let topics = TopicServer::new(spawner.clone(), clock.clone(), settings.link_bytes_per_s);
    let dispatch = Arc::new(Dispatch::new(spawner.clone(), clock, settings, options));
    for addr in seeds {
        dispatch.peers.add_seed(addr);
    }
    let (delta_sender, delta_receiver) = async_channel::bounded(MAX_QUEUED_DELTAS);
    let operators = follow_operators(&dispatch, delta_sender.clone());
    let upstreams = follow_upstreams(&dispatch, delta_sender.clone());
    let quarantines = follow_suspects(&dispatch, delta_sender);
    let exchange = Arc::new(Exchange {
        dispatch: dispatch.clone(),
        operators: operators.clone(),
        upstreams: upstreams.clone(),
        quarantines: quarantines.clone(),
        topics,
        socket,
    });

    let max_descriptors = dispatch.settings.load().max_descriptors;
    let connections = caller_connections(&dispatch.clock, max_descriptors);
    // Dropped at the end of this function, which ends the tasks and servers.
    let (_ready_open, ready_stop) = async_channel::bounded::<()>(1);
    let (peers_open, peers_stop) = async_channel::bounded::<()>(1);
    let (_metrics_open, metrics_stop) = async_channel::bounded::<()>(1);
    let _tasks = [
        spawner.spawn(follow(spawner.clone(), operators.clone(), store_addr)),
        spawner.spawn(follow(spawner.clone(), upstreams.clone(), store_addr)),
        spawner.spawn(follow(spawner.clone(), quarantines.clone(), store_addr)),
        spawner.spawn(remove_expired(dispatch.clone())),
        spawner.spawn(version_records::keep(dispatch.clone())),
        spawner.spawn(stream_origin::keep_stored(dispatch.clone())),
        spawner.spawn(link_probe::watch(dispatch.clone())),
        spawner.spawn(engine_watch::watch(dispatch.clone(), upstreams.clone())),
        spawner.spawn(suspension_watch::watch(
            dispatch.clone(),
            [operators.clone(), upstreams.clone(), quarantines],
        )),
        spawner.spawn(serve_metrics(dispatch.clone(), exchange.clone(), metrics_stop)),
        spawner.spawn(exchange.clone().receive()),
        spawner.spawn(exchange.clone().send_heartbeats()),
        spawner.spawn(exchange.clone().push_deltas(delta_receiver)),
        spawner.spawn(exchange.clone().push_messages()),
        spawner.spawn(watch_connections(dispatch.clone(), connections.clone())),
        spawner.spawn(announce(dispatch.clone())),
        spawner.spawn(watch_settings(dispatch.clone(), settings_path, reload)),
        spawner
            .spawn(ready_server(&dispatch, &operators, &upstreams, ready_stop).run(ready_listener)),
    ];
    let peer_server =
        spawner.spawn(peer_server(&dispatch, &exchange, peers_stop).run(peers_listener));
    let (accepting, accept_stop) = async_channel::bounded::<()>(1);
    let _drain = spawner.spawn(drain(dispatch.clone(), stop, accepting));
    caller_server(&dispatch, connections, accept_stop).run(callers_listener).await;
    // Calls that peers have forwarded are finished too.
    drop(peers_open);
    peer_server.await;
    log::info!(target: "comfreymast", code = 1003; "daemon stopped");
    Ok(())
}

/// Waits for `stop`, keeps accepting connections for a while, then closes `accepting`.
async fn drain(dispatch: Arc<Dispatch>, stop: Receiver<()>, accepting: Sender<()>) {
    let _ = stop.recv().await;
    dispatch.start_draining();
    let grace_ms = dispatch.settings.load().grace_ms;
    log::info!(target: "comfreymast", code = 1002, grace_ms; "daemon drains");
    sleep_ms(dispatch.accept_ms()).await;
    drop(accepting);
}

fn caller_server(
    dispatch: &Arc<Dispatch>,
    connections: Arc<Connections>,
    stop: Receiver<()>,
) -> Server {
    let handler_dispatch = dispatch.clone();
    let limits_dispatch = dispatch.clone();
    Server::new(
        dispatch.spawner.clone(),
        handler(move |request| request_handler::answer(handler_dispatch.clone(), request)),
        move || {
            let limits = limits_dispatch.configuration.load().as_ref().map(|known| known.limits);
            let limits = limits.unwrap_or_default();
            ConnectionLimits {
                max_head_bytes: limits.max_head_bytes,
                head_timeout_ms: limits.idle_timeout_ms,
            }
        },
        connections,
        stop,
    )
}

fn ready_server(
    dispatch: &Arc<Dispatch>,
    operators: &Arc<FollowedTopic>,
    upstreams: &Arc<FollowedTopic>,
    stop: Receiver<()>,
) -> Server {
    let max_descriptors = dispatch.settings.load().max_descriptors;
    let state = (dispatch.clone(), operators.clone(), upstreams.clone());
    let answer = handler(move |request| {
        let (dispatch, _operators, upstreams) = state.clone();
        async move {
            let is_ready = request.uri().path() == READY_PATH
                && dispatch.configuration.load().is_some()
                && upstreams.is_loaded()
                && !dispatch.is_draining();
            let mut response = Response::new(empty());
            if !is_ready {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            response
        }
    });
    Server::new(
        dispatch.spawner.clone(),
        answer,
        peer_limits,
        peer_connections(&dispatch.clock, max_descriptors),
        stop,
    )
}

fn peer_server(dispatch: &Arc<Dispatch>, exchange: &Arc<Exchange>, stop: Receiver<()>) -> Server {
    let max_descriptors = dispatch.settings.load().max_descriptors;
    let exchange = exchange.clone();
    let answer = handler(move |request| {
        let exchange = exchange.clone();
        async move { exchange.answer(request).await }
    });
    Server::new(
        dispatch.spawner.clone(),
        answer,
        peer_limits,
        peer_connections(&dispatch.clock, max_descriptors),
        stop,
    )
}

/// Serves metrics on a separate port, if one is configured.
async fn serve_metrics(dispatch: Arc<Dispatch>, exchange: Arc<Exchange>, stop: Receiver<()>) {
    let peers_addr = dispatch.settings.load().peers_addr;
    let port = dispatch.options.metrics_port.filter(|port| *port != peers_addr.port());
    let Some(port) = port else { return };
    match listen(SocketAddr::new(peers_addr.ip(), port)).await {
        Ok(listener) => peer_server(&dispatch, &exchange, stop).run(listener).await,
        Err(error) => {
            log::warn!(target: "comfreymast", code = 1007, error:%;
                "metrics port cannot be opened");
        }
    }
}

fn peer_limits() -> ConnectionLimits {
    ConnectionLimits { max_head_bytes: MAX_PEER_HEAD_BYTES, head_timeout_ms: PEER_HEAD_TIMEOUT_MS }
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(addr).await.map_err(|source| GatewayError { addr, source })
}

fn local_addr(listener: &TcpListener, addr: SocketAddr) -> Result<SocketAddr, GatewayError> {
    listener.local_addr().map_err(|source| GatewayError { addr, source })
}
