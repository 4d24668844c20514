//! Checks that the contract of one organisation behaves like one compare-and-set register.

use std::sync::{Arc, Mutex, PoisonError};

use todc_utils::{Action, History, Specification, WGLChecker};

/// One operation on the contract, with what its caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ContractOp {
    /// A fresh read.
    Get {
        /// The revision read; 0 where there is none.
        revision: u64,
        /// What the document said.
        mark: u64,
    },
    /// A change.
    Put {
        /// The revision it was written against.
        base: u64,
        /// What the document says.
        mark: u64,
        /// What the operator was told.
        told: PutTold,
    },
}

/// What an operator was told of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutTold {
    /// It made this revision.
    InForce(u64),
    /// It lost against this revision.
    Conflict(u64),
    /// Nothing was published.
    NotPublished,
    /// Nobody knows; it may take effect at any later time, or never.
    Unknown,
}

/// The register: revision and mark.
pub struct ContractRegister;

impl Specification for ContractRegister {
    type State = (u64, u64);
    type Operation = ContractOp;

    fn init() -> Self::State {
        (0, 0)
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        let (in_force, _) = *state;
        match *operation {
            ContractOp::Get { revision, mark } => (*state == (revision, mark), *state),
            ContractOp::Put { base, mark, told } => match told {
                PutTold::InForce(revision) if base == in_force && revision == base + 1 => {
                    (true, (revision, mark))
                }
                PutTold::InForce(_) => (false, *state),
                PutTold::Conflict(revision) => (base != in_force && revision == in_force, *state),
                PutTold::NotPublished => (true, *state),
                PutTold::Unknown if base == in_force => (true, (base + 1, mark)),
                PutTold::Unknown => (true, *state),
            },
        }
    }
}

/// What an operator, by its number, began or ended.
type RegisterAction = (usize, Action<ContractOp>);

/// Collects what concurrent operators did, in the order of real time.
#[derive(Clone, Debug, Default)]
pub struct RegisterHistory {
    actions: Arc<Mutex<Vec<RegisterAction>>>,
}

impl RegisterHistory {
    /// Operator `process` begins an operation.
    ///
    /// What it will be told is not known yet; the checker looks at [`RegisterHistory::end`] only.
    pub fn begin(&self, process: usize) {
        let told = ContractOp::Get { revision: 0, mark: 0 };
        self.push(process, Action::Call(told));
    }

    /// Operator `process` has its answer.
    pub fn end(&self, process: usize, operation: ContractOp) {
        self.push(process, Action::Response(operation));
    }

    /// How many operations ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.actions.lock().unwrap_or_else(PoisonError::into_inner).len() / 2
    }

    /// True when nothing was done.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// True when some order of the operations, each within its time, explains all answers.
    #[must_use]
    pub fn is_linearizable(&self) -> bool {
        let actions = self.actions.lock().unwrap_or_else(PoisonError::into_inner).clone();
        WGLChecker::<ContractRegister>::is_linearizable(History::from_actions(actions))
    }

    fn push(&self, process: usize, action: Action<ContractOp>) {
        self.actions.lock().unwrap_or_else(PoisonError::into_inner).push((process, action));
    }
}
