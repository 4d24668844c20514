//! Whether to believe a VM list from which many VMs vanished at once.

/// When a mass disappearance is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListGuardOptions {
    /// How long the list has to repeat that most VMs are gone.
    pub hold_ms: u64,
}

impl Default for ListGuardOptions {
    fn default() -> Self {
        Self { hold_ms: 30_000 }
    }
}

/// What to do with a new list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListVerdict {
    /// VMs that it lacks are gone.
    Adopt,
    /// VMs that it lacks are kept for now; what it says of others is taken.
    Hold,
}

/// Remembers since when the list has lacked most VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListGuard {
    options: ListGuardOptions,
    held_since_ms: Option<u64>,
}

impl ListGuard {
    /// A guard that holds nothing yet.
    #[must_use]
    pub fn new(options: ListGuardOptions) -> Self {
        Self { options, held_since_ms: None }
    }

    /// Judges a list of `listed` VMs that lacks `missing` of the `known` ones.
    ///
    /// A few missing VMs are gone. More than half are believed only after the list has said so for
    /// a while, and an empty list never, because the VM that reads it exists.
    pub fn judge(
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
