//! Whether to adopt a VM list from which most VMs disappeared at once.

/// When a list from which most VMs are missing is adopted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListGuardOptions {
    /// How long most VMs must stay missing from the list before they count as gone.
    pub hold_ms: u64,
}

impl Default for ListGuardOptions {
    fn default() -> Self {
        Self { hold_ms: 30_000 }
    }
}

/// How to apply a new list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListVerdict {
    /// Remove the VMs that are missing from it.
    Adopt,
    /// Keep the missing VMs for now, but apply what it says about the others.
    Hold,
}

/// Tracks since when most VMs have been missing from the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListGuard {
    options: ListGuardOptions,
    held_since_ms: Option<u64>,
}

impl ListGuard {
    /// Creates a guard without a held list.
    #[must_use]
    pub fn new(options: ListGuardOptions) -> Self {
        Self { options, held_since_ms: None }
    }

    /// Evaluates a list of `listed` VMs from which `missing` of the `known` VMs are missing.
    ///
    /// Up to half of the VMs may disappear at once. If more than half are missing, the list is
    /// adopted only after [`ListGuardOptions::hold_ms`]. An empty list is never adopted, because
    /// the VM that reads it exists.
    pub fn evaluate(
        &mut self,
        known: usize,
        missing: usize,
        listed: usize,
        now_ms: u64,
    ) -> ListVerdict {
        if missing * 2 <= known {
            self.held_since_ms = None;
            return ListVerdict::Adopt;
        }
        let since_ms = *self.held_since_ms.get_or_insert(now_ms);
        if listed > 0 && now_ms.saturating_sub(since_ms) >= self.options.hold_ms {
            self.held_since_ms = None;
            return ListVerdict::Adopt;
        }
        ListVerdict::Hold
    }
}
