//! Decision logic without I/O: each module takes the current time and state and returns what to do.
//!
//! * [`currency`] — whether a daemon may serve on the contracts it holds.
//! * [`forward_choice`] — which daemon takes a call of one that has lost its links to upstreams.
//! * [`link_watch`] — whether a daemon has lost its links to upstreams.
//! * [`limits`] — how much of an organisation's limits this daemon may use.
//! * [`links`] — which peers a daemon keeps connections to.
//! * [`entry_expiry`] — how long an upstream whose entry was deleted stays in use.
//! * [`list_guard`] — whether to adopt a VM list from which most VMs are missing.
//! * [`membership`] — which daemons are live, from their heartbeats.
//! * [`route_history`] — which services a route had in the last while.
//! * [`room`] — which waiting stream starts next, and which is rejected.
//! * [`routing`] — load balancing that ignores memory, and the subset of upstreams to use.
//! * [`lengths`] — how long an answer will be.
//! * [`admission`] — which engine runs a generation, when it starts, and what is refused.
//! * [`admission_profile`] — the expected memory use of generations on an engine.
//! * [`answer_end`] — whether an answer that has ended is whole.
//! * [`answer_proof`] — what an answer proves about the request that was sent.
//! * [`fairness`] — which organisation is served next.
//! * [`prefix`] — which engine may still have a prompt's prefix in its cache.
//! * [`quarantine`] — which requests crash the engines that run them.
//! * [`placement`] — which engine takes a generation, given what all daemons run.
//! * [`evacuation`] — how a running generation leaves an engine that is shutting down.
//! * [`move_steps`] — the next request to that engine after each of its answers.
//! * [`send_pacer`] — when a daemon sends the next part of what it hands on to peers.
//! * [`slot_share`] — how many places of a brittle upstream a daemon uses.
//! * [`software_version`] — at which versions of upstreams a stream may run.
//! * [`stream_origins`] — which service and software version began a stream.
//! * [`topic_source`] — which peer a daemon that is behind on a topic fetches it from.
//! * [`version_history`] — the software versions that services had.
//! * [`version_records`] — what the store keeps of them.
//! * [`suspension`] — whether the VM was suspended.
//! * [`upstream_choice`] — which upstream of a plain service gets a request.
//! * [`upstream_limit`] — how many requests an upstream gets that names a limit for all daemons.
//! * [`upstream_end`] — whether an upstream has ended.
//! * [`fleet_budget`] — the retry budget that all daemons share.
//! * [`retry`] — retry budgets, slow start of failed upstreams and jittered retry delays.

pub mod admission;
mod admission_engine;
mod admission_options;
pub mod admission_profile;
mod admission_throughput;
mod admission_work;
pub mod answer_end;
pub mod answer_proof;
pub mod currency;
pub mod entry_expiry;
pub mod evacuation;
pub mod fairness;
pub mod fleet_budget;
pub mod forward_choice;
pub mod lengths;
pub mod limits;
pub mod link_watch;
pub mod links;
pub mod list_guard;
pub mod membership;
pub mod move_steps;
pub mod placement;
pub mod prefix;
pub mod quarantine;
mod queue;
pub mod retry;
pub mod room;
pub mod route_history;
pub mod routing;
pub mod send_pacer;
mod sliding_count;
pub mod slot_share;
pub mod software_version;
pub mod stream_origins;
pub mod suspension;
pub mod topic_source;
pub mod upstream_choice;
pub mod upstream_end;
pub mod upstream_limit;
pub mod version_history;
pub mod version_records;
