//! Stand-ins for the systems that comfreymast talks to, with fault injection.
//!
//! They are not shipped. Tests, demos and benches start them as processes; each prints
//! `listening on ADDR` as its first line and accepts faults as JSON on `POST /faults`.
//!
//! * [`log_service`] — append-only topics with offsets and limited retention.
//! * [`vm_list`] — the list of VMs, set by `PUT /vms`.
//! * [`engine`] — a model engine with continuous batching and limited memory.
//! * [`plain_service`] — a service that echoes each call and numbers its runs.
//! * [`platform_upstream`] — an upstream with the platform's interface, started inside a test.
//! * [`platform_documents`] — the JSON documents and headers of the platform's interfaces.
//! * [`framed_upstream`] — an upstream of the platform that frames and cuts its answers as asked.
//! * [`endless_upstream`] — an upstream whose answers do not end.
//! * [`history`] — the events of a run, for checkers to read afterwards.

pub mod endless_upstream;
pub mod engine;
pub mod framed_upstream;
pub mod history;
pub mod log_service;
pub mod plain_service;
pub mod platform_documents;
pub mod platform_upstream;
mod reply;
pub mod vm_list;
