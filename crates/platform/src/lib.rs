//! Clients of the platform: the log service and the VM list.
//!
//! * [`LogClient`] — appends and reads; a lost append reply is [`LogError::Unknown`].
//! * [`VmList`] — reads the list of VMs; [`Vm`] is one entry.

mod log_client;
mod vm;
mod vm_list;

pub use log_client::{LogClient, LogError};
pub use vm::{Vm, VmRole, VmState};
pub use vm_list::{VmList, VmListError};
