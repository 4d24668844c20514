use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use comfreymast_base::{DaemonName, DataCentre, Model, Service, Upstream};
use comfreymast_decide::retry::{SlowStartOptions, UpstreamHealth};
use comfreymast_platform::{Vm, VmRole, VmState};
use comfreymast_wire::engine::Load;

/// The VMs this daemon knows, as of the last VM list.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    /// Engines and servers of plain services.
    pub(crate) upstreams: BTreeMap<Upstream, Arc<UpstreamState>>,
    /// Daemons, this one included.
    pub(crate) daemons: Vec<Vm>,
    /// True once the VM list was read and named any VM.
    pub(crate) is_known: bool,
    /// Every VM, as of the last list.
    vms: Vec<Vm>,
}

/// The state of one upstream, as known to this daemon.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    /// The upstream's name.
    pub(crate) name: Upstream,
    /// The address it listens on.
    pub(crate) addr: SocketAddr,
    /// The data centre it runs in.
    pub(crate) data_centre: DataCentre,
    /// The models it has loaded; empty for a server of a plain service.
    pub(crate) models: Vec<Model>,
    /// The service it belongs to; `None` for an engine.
    pub(crate) service: Option<Service>,
    /// True when it is about to shut down and gets no new work.
    pub(crate) leaving: bool,
    /// Per-request state, shared with later versions of this entry.
    pub(crate) live: Arc<UpstreamLive>,
}

/// The part of an upstream's state that changes with each request.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLive {
    /// Requests from this daemon that are running on it.
    pub(crate) outstanding: AtomicU32,
    /// Connection failures, and the slow start after recovery.
    pub(crate) health: UpstreamHealth,
    /// Its last load report.
    pub(crate) load: ArcSwap<Load>,
    /// When that report was requested, by this daemon's clock; 0 for never.
    pub(crate) load_at_ms: AtomicU64,
}

impl Directory {
    /// Returns the directory for a new VM list, keeping the live state of upstreams that remain.
    pub(crate) fn updated(&self, vms: Vec<Vm>) -> Self {
        let (daemons, others): (Vec<_>, Vec<_>) =
            vms.iter().cloned().partition(|vm| vm.role == VmRole::Daemon);
        let upstreams = others.into_iter().map(|vm| {
            let state = self.upstream_state(vm);
            (state.name.clone(), Arc::new(state))
        });
        Self { upstreams: upstreams.collect(), daemons, is_known: !vms.is_empty(), vms }
    }

    /// How many VMs are known.
    pub(crate) fn len(&self) -> usize {
        self.vms.len()
    }

    /// The known VMs that are absent from `list`.
    pub(crate) fn missing_from(&self, list: &[Vm]) -> Vec<Vm> {
        let listed: BTreeSet<_> = list.iter().map(|vm| vm.name.as_str()).collect();
        self.vms.iter().filter(|vm| !listed.contains(vm.name.as_str())).cloned().collect()
    }

    /// True when each of `names` is a daemon on the list.
    pub(crate) fn lists_daemons<const N: usize>(&self, names: [&DaemonName; N]) -> bool {
        names.iter().all(|name| self.daemons.iter().any(|vm| vm.name == name.as_str()))
    }

    fn upstream_state(&self, vm: Vm) -> UpstreamState {
        let name = Upstream::from(vm.name);
        // The same name at another address is a different VM, so its state starts afresh.
        let known = self.upstreams.get(&name).filter(|known| known.addr == vm.addr);
        UpstreamState {
            live: known.map(|known| known.live.clone()).unwrap_or_default(),
            name,
            addr: vm.addr,
            data_centre: vm.data_centre,
            models: vm.models,
            service: vm.service,
            leaving: vm.state == VmState::Leaving,
        }
    }

    /// Engines that have the model loaded and accept new work.
    pub(crate) fn engines<'a>(
        &'a self,
        model: &'a Model,
    ) -> impl Iterator<Item = &'a Arc<UpstreamState>> {
        self.upstreams.values().filter(move |up| !up.leaving && up.models.contains(model))
    }

    /// Servers of the service that accept new work.
    pub(crate) fn servers<'a>(
        &'a self,
        service: &'a Service,
    ) -> impl Iterator<Item = &'a Arc<UpstreamState>> {
        self.upstreams
            .values()
            .filter(move |up| !up.leaving && up.service.as_ref() == Some(service))
    }
}

impl UpstreamState {
    /// True while no work should be routed to it, because a recent connection attempt failed.
    pub(crate) fn is_avoided(&self, now_ms: u64) -> bool {
        self.live.health.weight_permille(SlowStartOptions::default(), now_ms) == 0
    }

    /// Counts one request on this upstream until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> Outstanding {
        self.live.outstanding.fetch_add(1, Ordering::AcqRel);
        Outstanding { upstream: self.clone() }
    }
}

/// One request running on an upstream, counted until dropped.
#[derive(Debug)]
pub(crate) struct Outstanding {
    upstream: Arc<UpstreamState>,
}

impl Outstanding {
    /// The upstream that runs it.
    pub(crate) fn upstream(&self) -> &Arc<UpstreamState> {
        &self.upstream
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.upstream.live.outstanding.fetch_sub(1, Ordering::AcqRel);
    }
}
