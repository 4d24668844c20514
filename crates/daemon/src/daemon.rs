use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use async_net::TcpListener;
use comfreymast_base::{Clock, DaemonName};
use comfreymast_net::{
    Connections, Handler, RequestBodies, ServeLimits, Spawner, handler, serve, sleep_ms,
};
use comfreymast_platform::{LogClient, VmListClient};
use derive_more::{Display, Error};

use crate::admission::EngineQueue;
use crate::burn::BurnState;
use crate::callers::cursor::CursorSeal;
use crate::claims::ClaimLog;
use crate::currency::Currency;
use crate::directory::Directory;
use crate::ledger_state::LedgerState;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::quarantine::QuarantineState;
use crate::retry_budgets::RetryBudgets;
use crate::{
    Settings, admission, burn, callers, claims, events, limits, load_watch, log_follower,
    operators, peers, snapshot_writer, vm_watch,
};

const APPEND_TIMEOUT_MS: u64 = 2_000;
/// The quarters of the memory of which bodies have their share; contracts and claims need the rest.
const BODY_MEMORY_QUARTERS: u64 = 3;
/// The part of the descriptors that callers' connections may take. Each may need another one to an engine, and
/// the log, peers and operators need the rest.
const CONNECTION_PARTS: usize = 5;
const DESCRIPTOR_PARTS: usize = 16;

/// State shared by all tasks of one daemon.
#[derive(Debug)]
pub(crate) struct Daemon {
    /// The settings it was started with.
    pub(crate) settings: Settings,
    /// The source of time.
    pub(crate) clock: Clock,
    /// Spawns the tasks of this daemon.
    pub(crate) spawner: Spawner,
    /// Client of the platform's log service.
    pub(crate) log: LogClient,
    /// The replicated state, as of the last applied record.
    pub(crate) ledger: LedgerState,
    /// The oldest offset that the log still retains.
    pub(crate) log_start_offset: AtomicU64,
    /// Evidence that the contracts are up to date.
    pub(crate) currency: Currency,
    /// The known VMs.
    pub(crate) directory: ArcSwap<Directory>,
    /// The other daemons.
    pub(crate) peers: Peers,
    /// Generations that are queued for an engine or running on one.
    pub(crate) engine_queue: EngineQueue,
    /// This daemon's shares of the organisations' limits.
    pub(crate) limits: Limits,
    /// Claims that are being appended to the log.
    pub(crate) claims: ClaimLog,
    /// Requests suspected of crashing engines.
    pub(crate) quarantine: QuarantineState,
    /// The retry budgets of organisations.
    pub(crate) retry_budgets: RetryBudgets,
    /// The memory of the bodies of requests.
    pub(crate) bodies: RequestBodies,
    /// Service level measurements.
    pub(crate) burn: BurnState,
    /// Metrics of this daemon.
    pub(crate) metrics: Metrics,
    /// Closed when the daemon has to stop.
    pub(crate) stop: Receiver<()>,
    /// Seals and opens readers' cursors.
    pub(crate) cursors: CursorSeal,
    /// Closed when open streams have to be handed over.
    streams: Receiver<()>,
    ready: AtomicBool,
    draining: AtomicBool,
}

impl Daemon {
    /// True from when the state was first loaded until the daemon drains.
    pub(crate) fn is_ready(&self) -> bool {
        self.has_loaded() && !self.is_draining()
    }

    /// True once the log was read to its end or a peer confirmed the state; before that the ledger
    /// is incomplete. Stays true while draining, as a draining daemon still serves requests.
    pub(crate) fn has_loaded(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Completes when a drain reaches its time limit and open streams have to be handed over.
    pub(crate) async fn handed_over(&self) {
        let _ = self.streams.recv().await;
    }

    /// True while the contracts are known to be up to date, so that new work may be served.
    pub(crate) fn is_current(&self) -> bool {
        self.currency.is_current(self.clock.now_ms())
    }

    /// True once the daemon has begun to drain.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Daemons on the VM list with a recent heartbeat, and this one.
    pub(crate) fn live_daemons(&self) -> BTreeSet<DaemonName> {
        let directory = self.directory.load();
        let now_ms = self.clock.now_ms();
        let table = self.peers.table();
        let listed = directory.daemons.iter().map(|vm| DaemonName::from(vm.name.as_str()));
        let others = listed.filter(|name| table.live(name, now_ms).is_some());
        others.chain([self.settings.name.clone()]).collect()
    }

    /// Marks the daemon as ready for callers.
    pub(crate) fn become_ready(&self) {
        if !self.ready.swap(true, Ordering::AcqRel) {
            let offset = self.ledger.next_offset();
            events::DAEMON_READY.log(format_args!("log read up to offset {offset}"));
        }
    }

    /// Marks the daemon as draining, which its readiness check and its heartbeats report.
    pub(crate) fn start_draining(&self) {
        if !self.draining.swap(true, Ordering::AcqRel) {
            let grace_ms = self.settings.drain_grace_ms;
            events::DAEMON_DRAINING.log(format_args!("new work is accepted for {grace_ms} ms"));
            self.peers.announce();
        }
    }
}

/// The addresses a daemon listens on, with the ports chosen by the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
}

/// Why a daemon did not start.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {addr}: {source}")]
pub struct StartError {
    /// The address to listen on.
    pub addr: SocketAddr,
    /// The error of the operating system.
    pub source: std::io::Error,
}

/// Runs one daemon until `stop` closes, then drains it: it reports not ready, serves for a grace
/// period, stops accepting connections, finishes the requests in flight, and hands over the
/// streams that are still open at the drain limit.
///
/// `started` is called once with the addresses, before the first request is accepted.
///
/// # Errors
///
/// [`StartError`] when a port cannot be opened.
pub async fn run(
    spawner: Spawner,
    settings: Settings,
    stop: Receiver<()>,
    started: impl FnOnce(Addresses),
) -> Result<(), StartError> {
    let callers = listen(settings.callers_addr).await?;
    let operators = listen(settings.operators_addr).await?;
    let peers = listen(settings.peers_addr).await?;
    let addresses = Addresses {
        callers: local_addr(&callers, settings.callers_addr)?,
        operators: local_addr(&operators, settings.operators_addr)?,
        peers: local_addr(&peers, settings.peers_addr)?,
    };
    let (streams_running, streams) = async_channel::bounded::<()>(1);
    let vm_list = VmListClient::new(spawner.clone(), settings.vms_addr);
    let daemon = Arc::new(new_daemon(spawner.clone(), settings, stop, streams));
    started(addresses);
    events::DAEMON_STARTED
        .log(format_args!("{} serves callers on {}", daemon.settings.name, addresses.callers));

    // These tasks are cancelled when the function returns and drops them.
    let (operators_running, operators_stop) = async_channel::bounded::<()>(1);
    let _tasks = [
        spawner.spawn(log_follower::follow(daemon.clone())),
        spawner.spawn(snapshot_writer::write(daemon.clone())),
        spawner.spawn(peers::catch_up(daemon.clone())),
        spawner.spawn(claims::append(daemon.clone())),
        spawner.spawn(vm_watch::watch(daemon.clone(), vm_list)),
        spawner.spawn(load_watch::watch(daemon.clone())),
        spawner.spawn(admission::run(daemon.clone())),
        spawner.spawn(burn::record_samples(daemon.clone())),
        spawner.spawn(peers::accept(daemon.clone(), peers)),
        spawner.spawn(peers::keep_links(daemon.clone())),
        spawner.spawn(peers::send_heartbeats(daemon.clone())),
        spawner.spawn(limits::report_usage(daemon.clone())),
        spawner.spawn(serve(
            spawner.clone(),
            operators,
            answer_with(&daemon, operators::front::answer),
            ServeLimits::default(),
            operators_stop,
        )),
    ];
    let (accepting, accept_stop) = async_channel::bounded::<()>(1);
    let _drain = spawner.spawn(drain(daemon.clone(), accepting, streams_running));
    let callers_handler = answer_with(&daemon, callers::front::answer);
    serve(spawner, callers, callers_handler, caller_limits(&daemon), accept_stop).await;
    daemon.claims.flush().await;
    drop(operators_running);
    events::DAEMON_STOPPED.log(format_args!("no request was in flight"));
    Ok(())
}

/// Waits for the stop signal, then drains the daemon.
async fn drain(daemon: Arc<Daemon>, accepting: Sender<()>, streams_running: Sender<()>) {
    let Settings { drain_grace_ms, drain_limit_ms, .. } = daemon.settings;
    let _ = daemon.stop.recv().await;
    daemon.start_draining();
    sleep_ms(drain_grace_ms).await;
    events::DAEMON_CLOSING.log(format_args!("finishing the requests in flight"));
    drop(accepting);
    sleep_ms(drain_limit_ms.saturating_sub(drain_grace_ms)).await;
    events::STREAMS_HANDED_OVER.log(format_args!("after {drain_limit_ms} ms"));
    drop(streams_running);
}

fn caller_limits(daemon: &Daemon) -> ServeLimits {
    let settings = &daemon.settings;
    let max_connections = settings.max_descriptors * CONNECTION_PARTS / DESCRIPTOR_PARTS;
    ServeLimits {
        connections: Some(Connections::new(&daemon.clock, max_connections)),
        header_timeout_ms: settings.header_timeout_ms,
        write_stall_ms: settings.reader_stall_ms,
        ..ServeLimits::default()
    }
}

fn new_daemon(
    spawner: Spawner,
    settings: Settings,
    stop: Receiver<()>,
    streams: Receiver<()>,
) -> Daemon {
    let clock = Clock::system();
    Daemon {
        cursors: CursorSeal::new(settings.fleet_key.expose().as_bytes()),
        streams,
        bodies: RequestBodies::of_vm(settings.memory_bytes / 4 * BODY_MEMORY_QUARTERS, &clock),
        clock,
        log: LogClient::new(spawner.clone(), settings.log_addr, APPEND_TIMEOUT_MS),
        spawner,
        ledger: LedgerState::default(),
        log_start_offset: AtomicU64::new(0),
        currency: Currency::default(),
        directory: ArcSwap::default(),
        peers: Peers::new(&settings),
        engine_queue: EngineQueue::default(),
        limits: Limits::default(),
        claims: ClaimLog::default(),
        quarantine: QuarantineState::default(),
        retry_budgets: RetryBudgets::default(),
        burn: BurnState::default(),
        metrics: Metrics::new(),
        stop,
        ready: AtomicBool::new(false),
        draining: AtomicBool::new(false),
        settings,
    }
}

fn answer_with<F>(
    daemon: &Arc<Daemon>,
    answer: impl Fn(Arc<Daemon>, hyper::Request<hyper::body::Incoming>) -> F + Send + Sync + 'static,
) -> Handler
where
    F: Future<Output = hyper::Response<comfreymast_net::Body>> + Send + 'static,
{
    let daemon = daemon.clone();
    handler(move |request| answer(daemon.clone(), request))
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).await.map_err(|source| StartError { addr, source })
}

fn local_addr(listener: &TcpListener, addr: SocketAddr) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|source| StartError { addr, source })
}
