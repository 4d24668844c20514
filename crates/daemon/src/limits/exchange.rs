use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use comfreymast_base::{DaemonName, Organisation};
use comfreymast_decide::limits::{Grant, Grants, HolderReport, owner_of};
use comfreymast_net::sleep_ms;
use comfreymast_wire::peer::{LimitGrant, LimitReport, LimitShare, LimitUse, peer_message};

use super::state::Owned;
use crate::daemon::Daemon;

const REPORT_INTERVAL_MS: u64 = 250;
/// Number of reports sent to all daemons after a membership change. An owner that notices the
/// change only after the first report must still get one.
const BROADCAST_ROUNDS: u32 = 3;
/// How long the state of an organisation without requests is kept.
const KEEP_IDLE_MS: u64 = 10_000;

/// Periodically reports the slots held and wanted to each owner, until the daemon ends.
pub(crate) async fn report_usage(daemon: Arc<Daemon>) {
    let mut broadcast_rounds = 0;
    loop {
        if update_membership(&daemon) {
            broadcast_rounds = BROADCAST_ROUNDS;
        }
        let broadcast = broadcast_rounds > 0;
        broadcast_rounds = broadcast_rounds.saturating_sub(1);
        let now_ms = daemon.clock.now_ms();
        let owners = owners(&daemon);
        for (owner, uses) in reports(&daemon, &owners, broadcast) {
            send_report(&daemon, &owner, uses);
        }
        daemon.limits.retain(|limit| {
            limit.share.in_use() > 0 || now_ms < limit.share.last_used_ms() + KEEP_IDLE_MS
        });
        sleep_ms(REPORT_INTERVAL_MS).await;
    }
}

/// Reports one organisation immediately.
pub(crate) fn report_one(daemon: &Daemon, organisation: &Organisation) {
    let owners = owners(daemon);
    if let Some(owner) = owner_of(organisation.as_str(), &owners) {
        send_report(daemon, owner, vec![limit_use(daemon, organisation)]);
    }
}

/// Updates the set of live daemons; returns true when it has changed.
fn update_membership(daemon: &Daemon) -> bool {
    let live = daemon.live_daemons();
    let mut owned = daemon.limits.owned();
    let changed = owned.live != live;
    if changed {
        owned.grants.retain(|organisation, _| {
            owner_of(organisation.as_str(), &live) == Some(&daemon.settings.name)
        });
        owned.reported.clear();
        owned.live = live;
    }
    changed
}

fn owners(daemon: &Daemon) -> BTreeSet<DaemonName> {
    daemon.limits.owned().live.clone()
}

/// The reports for each owner. After a membership change every daemon gets one, if only an empty
/// one, so that new owners know when every daemon has reported.
fn reports(
    daemon: &Daemon,
    owners: &BTreeSet<DaemonName>,
    broadcast: bool,
) -> BTreeMap<DaemonName, Vec<LimitUse>> {
    let mut reports = BTreeMap::new();
    if broadcast {
        reports.extend(owners.iter().map(|owner| (owner.clone(), Vec::new())));
    }
    for organisation in daemon.limits.held().keys() {
        if let Some(owner) = owner_of(organisation.as_str(), owners) {
            let uses = reports.entry(owner.clone()).or_insert_with(Vec::new);
            uses.push(limit_use(daemon, organisation));
        }
    }
    reports
}

fn limit_use(daemon: &Daemon, organisation: &Organisation) -> LimitUse {
    let limit = daemon.limits.of(organisation);
    let floor_slots = limit.floor_slots();
    let now_ms = daemon.clock.now_ms();
    let contracts = daemon.ledger.contracts();
    let entry = contracts.get(organisation.as_str());
    let wanted = entry.map_or(0, |entry| limit.wanted(&entry.contract.limits, now_ms));
    limit.share.reduce_lease(wanted);
    LimitUse {
        organisation: organisation.to_string(),
        generation: limit.share.generation(),
        slots_held: limit.share.slots_held(floor_slots, now_ms),
        slots_wanted: wanted,
    }
}

fn send_report(daemon: &Daemon, owner: &DaemonName, uses: Vec<LimitUse>) {
    let report = LimitReport {
        daemon: daemon.settings.name.to_string(),
        incarnation: daemon.peers.incarnation,
        uses,
        sent_ms: daemon.clock.now_ms(),
    };
    if *owner == daemon.settings.name {
        let grant = answer_report(daemon, &report);
        handle_grant(daemon, &grant);
    } else {
        daemon.peers.send(owner, peer_message::Body::LimitReport(report));
    }
}

/// The owner's side: handles a report and answers it.
pub(crate) fn handle_report(daemon: &Daemon, from: &DaemonName, report: &LimitReport) {
    let grant = answer_report(daemon, report);
    if !grant.shares.is_empty() {
        daemon.peers.send(from, peer_message::Body::LimitGrant(grant));
    }
}

fn answer_report(daemon: &Daemon, report: &LimitReport) -> LimitGrant {
    let from = DaemonName::from(report.daemon.as_str());
    let mut owned = daemon.limits.owned();
    owned.reported.insert(from.clone());
    for grants in owned.grants.values_mut() {
        grants.mark_reported(&from);
    }
    let shares = report.uses.iter().filter_map(|used| share(daemon, &mut owned, &from, used));
    let shares = shares.collect();
    owned.grants.retain(|_, grants| !grants.is_idle());
    LimitGrant { owner: daemon.settings.name.to_string(), shares, report_sent_ms: report.sent_ms }
}

/// The reporter's share of one organisation; `None` if this daemon does not own the organisation
/// or it has no contract.
fn share(
    daemon: &Daemon,
    owned: &mut Owned,
    from: &DaemonName,
    used: &LimitUse,
) -> Option<LimitShare> {
    if owner_of(&used.organisation, &owned.live) != Some(&daemon.settings.name) {
        return None;
    }
    let contracts = daemon.ledger.contracts();
    let limit_slots = contracts.get(&used.organisation)?.contract.limits.concurrent_requests;
    let listed = u32::try_from(daemon.directory.load().daemons.len()).unwrap_or(u32::MAX);
    let live = u32::try_from(owned.live.len()).unwrap_or(u32::MAX);
    let options = daemon.limits.options;
    let pool_slots = options.pool_slots(limit_slots, listed, live);
    let now_ms = daemon.clock.now_ms();
    let unreported = owned.live.difference(&owned.reported).cloned().collect();
    let organisation = Organisation::from(used.organisation.as_str());
    let grants = owned.grants.entry(organisation).or_insert_with(|| {
        Grants::take_over(options, daemon.clock.unix_ms() << GENERATION_BITS, unreported, now_ms)
    });
    let report = HolderReport {
        generation: used.generation,
        slots_held: used.slots_held,
        slots_wanted: used.slots_wanted,
    };
    grants.apply_report(from, report, now_ms);
    let grant = grants.grant(from, pool_slots, now_ms);
    Some(LimitShare {
        organisation: used.organisation.clone(),
        generation: grant.generation,
        slots: grant.slots,
        lease_ms: u32::try_from(grant.lease_ms).unwrap_or(u32::MAX),
    })
}

/// Low bits of a generation, for the grants that one owner makes within one millisecond.
const GENERATION_BITS: u32 = 16;

/// The holder's side: handles an owner's answer.
pub(crate) fn handle_grant(daemon: &Daemon, grant: &LimitGrant) {
    let held = daemon.limits.held();
    for share in &grant.shares {
        let Some(limit) = held.get(share.organisation.as_str()) else { continue };
        let slots = Grant {
            generation: share.generation,
            slots: share.slots,
            lease_ms: u64::from(share.lease_ms),
        };
        if limit.share.accept(slots, grant.report_sent_ms) {
            limit.granted.notify(usize::MAX);
        }
    }
}
