use crate::feed::{EraChange, FeedChange, Revision};

type OnChange = Box<dyn Fn(&[FeedChange]) + Send + Sync>;
type OnEraChange = Box<dyn Fn(&EraChange) + Send + Sync>;

/// What a daemon does with a topic of the store.
pub(crate) struct TopicHandlers {
    /// Called with each batch of changes, in the order of their offsets.
    pub(crate) on_change: OnChange,
    /// Called when the store has come back from an older copy, after the changes of that.
    pub(crate) on_era_change: OnEraChange,
    /// The revision of a value, to tell an older value from a newer one across eras.
    pub(crate) revision_of: fn(&[u8]) -> Option<Revision>,
    /// True if removed keys whose values state no revision do not come back with an older copy of the store.
    pub(crate) keeps_removals: bool,
}
