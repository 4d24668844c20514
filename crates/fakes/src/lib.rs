//! Stand-ins for the systems that comfreymast meets, each a process with faults on demand.
//!
//! They are not shipped. Tests, demos and benches start them; each prints `listening on ADDR` as
//! its first line and takes faults as JSON on `POST /faults`.
//!
//! * [`log_service`] — an append-only log with offsets and limited retention.
//! * [`vm_list`] — the list of VMs, set by `PUT /vms`.
//! * [`engine`] — a model engine that batches continuously in limited memory.
//! * [`plain_service`] — a service that answers what it was asked and counts its runs.
//! * [`platform_upstream`] — an upstream as the platform runs them, started inside a test.
//! * [`platform_documents`] — what operators, upstreams, callers and VMs of the platform write.
//! * [`history`] — the events that checkers read after a run.

pub mod engine;
pub mod history;
pub mod log_service;
pub mod plain_service;
pub mod platform_documents;
pub mod platform_upstream;
mod reply;
pub mod vm_list;
