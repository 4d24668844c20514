//! Checks that the contract of one organisation behaves like one compare-and-set register.

use std::sync::{Arc, Mutex, PoisonError};

use todc_utils::{Action, History, Specification, WGLChecker};

/// One operation on the contract, with its result as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ContractOp {
    /// A read with `fresh=true`.
    Get {
        /// The revision read; 0 where there is none.
        revision: u64,
        /// The mark in the document read.
        mark: u64,
    },
    /// A change.
    Put {
        /// The revision on which the change is based.
        base: u64,
        /// The mark in the new document.
        mark: u64,
        /// The outcome that the operator was told.
        outcome: PutOutcome,
    },
}

/// The outcome of a change that an operator was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The change is in force as this revision.
    InForce(u64),
    /// The change lost: this revision was in force and is not its base.
    Conflict(u64),
    /// Nothing was published.
    NotPublished,
    /// Not known; the change may take effect at any later time, or never.
    Unknown,
}

/// The sequential specification: a register that holds a revision and a mark. The mark is a number
/// in the document that identifies a change.
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
            ContractOp::Put { base, mark, outcome } => match outcome {
                PutOutcome::InForce(revision) if base == in_force && revision == base + 1 => {
                    (true, (revision, mark))
                }
                PutOutcome::InForce(_) => (false, *state),
                PutOutcome::Conflict(revision) => {
                    (base != in_force && revision == in_force, *state)
                }
                PutOutcome::NotPublished => (true, *state),
                PutOutcome::Unknown if base == in_force => (true, (base + 1, mark)),
                PutOutcome::Unknown => (true, *state),
            },
        }
    }
}

/// The number of an operator, and the operation that it began or ended.
type RegisterAction = (usize, Action<ContractOp>);

/// Collects the operations of concurrent operators, in real-time order.
#[derive(Clone, Debug, Default)]
pub struct RegisterHistory {
    actions: Arc<Mutex<Vec<RegisterAction>>>,
}

impl RegisterHistory {
    /// Records that operator `process` begins an operation.
    ///
    /// The result is not known yet, so the call holds a placeholder; the checker uses only the one
    /// given to [`RegisterHistory::end`].
    pub fn begin(&self, process: usize) {
        let placeholder = ContractOp::Get { revision: 0, mark: 0 };
        self.push(process, Action::Call(placeholder));
    }

    /// Records that operator `process` got its answer.
    pub fn end(&self, process: usize, operation: ContractOp) {
        self.push(process, Action::Response(operation));
    }

    /// The number of operations that ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.actions.lock().unwrap_or_else(PoisonError::into_inner).len() / 2
    }

    /// True when no operation ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// True when some order of the operations, each between its begin and its end, explains all
    /// answers.
    #[must_use]
    pub fn is_linearizable(&self) -> bool {
        let actions = self.actions.lock().unwrap_or_else(PoisonError::into_inner).clone();
        WGLChecker::<ContractRegister>::is_linearizable(History::from_actions(actions))
    }

    fn push(&self, process: usize, action: Action<ContractOp>) {
        self.actions.lock().unwrap_or_else(PoisonError::into_inner).push((process, action));
    }
}
