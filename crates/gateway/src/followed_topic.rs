use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use async_channel::Sender;
use bytes::Bytes;
use comfreymast_base::{Clock, StorePosition};
use comfreymast_platform::{KeyedRecord, NewestRecords, StorePage, Topic};
use comfreymast_wire::news::{self, TopicDelta, TopicRecord, TopicSnapshot};
use event_listener::{Event, EventListener};

use crate::feed::{Feed, FeedChange, KnownRecord, Replacement, without_superseded};
use crate::removed_keys::RemovedKey;
use crate::topic_handlers::TopicHandlers;
use crate::topic_message::{self, CompressedTopic};

/// A topic of the store that this daemon follows, through the store itself or through its peers.
pub(crate) struct FollowedTopic {
    topic: Topic,
    clock: Clock,
    feed: Mutex<Feed>,
    handlers: TopicHandlers,
    position: ArcSwap<StorePosition>,
    is_loaded: AtomicBool,
    keeps_lost_records: AtomicBool,
    store_answers: AtomicBool,
    last_answer_ms: AtomicU64,
    wait_ms: AtomicU64,
    refresh: Event,
    deltas: Sender<TopicDelta>,
    /// Counts changes of the feed or its position.
    changes: AtomicU64,
    /// The whole topic as it was after that many changes.
    compressed: Mutex<Option<(u64, CompressedTopic)>>,
}

impl FollowedTopic {
    /// The `wait_ms` of a daemon that leaves reading the store to other daemons.
    pub(crate) const NOT_READING_MS: u64 = u64::MAX;

    /// Follows `topic` from its beginning. `handlers` apply changes; records read from the store
    /// are also sent to `deltas`, for peers. With `wait_ms` [`Self::NOT_READING_MS`], it is read once
    /// at the start, and followed only after [`Self::set_wait_ms`] has set another time.
    pub(crate) fn new(
        topic: Topic,
        clock: Clock,
        wait_ms: u64,
        handlers: TopicHandlers,
        deltas: Sender<TopicDelta>,
    ) -> Self {
        Self {
            topic,
            clock,
            feed: Mutex::new(Feed::new(handlers.revision_of, handlers.keeps_removals)),
            handlers,
            position: ArcSwap::default(),
            is_loaded: AtomicBool::new(false),
            keeps_lost_records: AtomicBool::new(false),
            store_answers: AtomicBool::new(false),
            last_answer_ms: AtomicU64::new(0),
            wait_ms: AtomicU64::new(wait_ms),
            refresh: Event::new(),
            deltas,
            changes: AtomicU64::new(0),
            compressed: Mutex::default(),
        }
    }

    /// The topic.
    pub(crate) fn topic(&self) -> Topic {
        self.topic
    }

    /// The position of the next expected record.
    pub(crate) fn position(&self) -> StorePosition {
        **self.position.load()
    }

    /// The same, the lowest position until all keys have been read at least once.
    pub(crate) fn position_if_loaded(&self) -> StorePosition {
        if self.is_loaded() { self.position() } else { StorePosition::default() }
    }

    /// True once all keys have been read at least once.
    pub(crate) fn is_loaded(&self) -> bool {
        self.is_loaded.load(Ordering::Acquire)
    }

    /// True while the store answers this daemon.
    pub(crate) fn store_answers(&self) -> bool {
        self.store_answers.load(Ordering::Acquire)
    }

    /// Records whether the store answers this daemon.
    pub(crate) fn record_store_answers(&self, store_answers: bool) {
        self.store_answers.store(store_answers, Ordering::Release);
        if store_answers {
            self.last_answer_ms.store(self.clock.now_ms(), Ordering::Release);
        }
    }

    /// The time since the store last answered this daemon.
    pub(crate) fn answer_age_ms(&self) -> u64 {
        self.clock.now_ms().saturating_sub(self.last_answer_ms.load(Ordering::Acquire))
    }

    /// How long the store is asked to wait for a change, or [`Self::NOT_READING_MS`].
    pub(crate) fn wait_ms(&self) -> u64 {
        self.wait_ms.load(Ordering::Acquire)
    }

    /// Sets how long the store is asked to wait for a change. A shorter time takes effect at once.
    pub(crate) fn set_wait_ms(&self, wait_ms: u64) {
        if wait_ms < self.wait_ms.swap(wait_ms, Ordering::AcqRel) {
            self.refresh();
        }
    }

    /// True when the feed has a record of `key`.
    pub(crate) fn contains_key(&self, key: &str) -> bool {
        self.feed().contains_key(key)
    }

    /// The whole topic, for a peer that cannot read the store.
    pub(crate) fn snapshot(&self) -> TopicSnapshot {
        self.feed().snapshot()
    }

    /// The same, compressed.
    pub(crate) fn compressed(&self) -> CompressedTopic {
        let mut known = self.known_compressed();
        let (changes, snapshot) = {
            let feed = self.feed();
            (self.changes.load(Ordering::Acquire), feed.snapshot())
        };
        match known.as_ref() {
            Some((known_changes, compressed)) if *known_changes == changes => compressed.clone(),
            _ => {
                let compressed = topic_message::compress(&snapshot);
                *known = Some((changes, compressed.clone()));
                compressed
            }
        }
    }

    /// Keeps a peer's compressed topic for others, if this daemon has the same since it was applied.
    pub(crate) fn keep_compressed(&self, end: StorePosition, compressed: CompressedTopic) {
        let mut known = self.known_compressed();
        let feed = self.feed();
        if feed.position() == end && !feed.keeps_lost_records() {
            *known = Some((self.changes.load(Ordering::Acquire), compressed));
        }
    }

    fn known_compressed(&self) -> MutexGuard<'_, Option<(u64, CompressedTopic)>> {
        self.compressed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// True if this daemon keeps records that the store lost when it came back.
    pub(crate) fn keeps_lost_records(&self) -> bool {
        self.keeps_lost_records.load(Ordering::Acquire)
    }

    /// True if this daemon has not seen the store in an earlier era.
    pub(crate) fn is_in_first_era(&self) -> bool {
        self.feed().is_in_first_era()
    }

    /// Applies a peer's snapshot, unless this daemon is ahead of it. Returns true if it was applied.
    pub(crate) fn apply_snapshot(&self, snapshot: TopicSnapshot) -> bool {
        let records = snapshot.records.into_iter().map(|record| KnownRecord {
            key: record.key,
            position: StorePosition { era: record.era, offset: record.offset },
            value: record.value,
        });
        let removals = snapshot.removed.into_iter().map(|removed| {
            let at = StorePosition { era: removed.era, offset: removed.offset };
            (removed.key, RemovedKey { at, last_offset: removed.last_offset, revision: None })
        });
        let end = StorePosition { era: snapshot.era, offset: snapshot.next_offset };
        let mut feed = self.feed();
        let is_ahead = feed.is_loaded() && feed.position() > end;
        let replaced = feed.replace(records.collect(), removals.collect(), end);
        self.publish_replacement(&feed, &replaced, "peer");
        !is_ahead
    }

    /// Applies records that a peer has just read, if no earlier record is missing.
    pub(crate) fn apply_delta(&self, delta: TopicDelta) {
        let mut feed = self.feed();
        let from = StorePosition { era: delta.era, offset: delta.from_offset };
        if !feed.is_loaded() || from > feed.position() {
            return;
        }
        let records = delta.records.into_iter().map(|record| KeyedRecord {
            offset: record.offset,
            key: record.key,
            value: (!record.value.is_empty()).then_some(record.value),
        });
        let next = StorePosition { era: delta.era, offset: delta.next_offset };
        let changes = feed.apply(records.collect(), next);
        self.publish(&feed, &changes);
    }

    /// Removes what the store lost and nobody has written again.
    pub(crate) fn drop_unconfirmed(&self) {
        let mut feed = self.feed();
        let changes = feed.drop_unconfirmed();
        self.publish(&feed, &changes);
    }

    /// The value of a key that the store lost and nobody has written again.
    pub(crate) fn unconfirmed_value(&self, key: &str) -> Option<Bytes> {
        self.feed().unconfirmed_value(key)
    }

    /// True if `key` was removed before the store came back, and nothing of it was written since.
    pub(crate) fn was_removed_before(&self, key: &str) -> bool {
        self.feed().was_removed_before(key)
    }

    /// Makes the follower query the store again at once, on a new connection.
    pub(crate) fn refresh(&self) {
        self.refresh.notify(usize::MAX);
    }

    /// Completes at the next [`Self::refresh`].
    pub(crate) fn next_refresh(&self) -> EventListener {
        self.refresh.listen()
    }

    /// Applies the newest record of each key, as read from the store.
    pub(crate) fn apply_newest(&self, newest: NewestRecords) {
        let mut feed = self.feed();
        let (was_loaded, from) = (feed.is_loaded(), feed.position());
        let records = newest.records.into_iter();
        let records = records.filter_map(|record| KnownRecord::of_store(record, newest.end.era));
        let replaced = feed.replace(records.collect(), Vec::new(), newest.end);
        // Peers in another era need the whole topic, and learn from heartbeats that they do.
        if was_loaded && replaced.era_change.is_none() {
            let records = replaced.changes.iter().map(|change| TopicRecord {
                key: change.key.clone(),
                // The records in between were deleted; peers get their net effect as one change.
                offset: newest.end.offset.saturating_sub(1),
                value: change.value.clone().unwrap_or_default(),
                era: newest.end.era,
            });
            self.forward_to_peers(from, newest.end, records.collect());
        }
        self.publish_replacement(&feed, &replaced, "store");
    }

    /// Applies records read from the store, and sends them to peers.
    pub(crate) fn apply_page(&self, mut page: StorePage) {
        page.records = without_superseded(page.records);
        let records = page.records.iter().map(|record| TopicRecord {
            key: record.key.clone(),
            offset: record.offset,
            value: record.value.clone().unwrap_or_default(),
            era: page.next.era,
        });
        self.forward_to_peers(self.position(), page.next, records.collect());
        let mut feed = self.feed();
        let changes = feed.apply(page.records, page.next);
        self.publish(&feed, &changes);
    }

    /// Queues records read from the store for peers. A peer that misses them learns from
    /// heartbeats that it is behind.
    fn forward_to_peers(
        &self,
        from: StorePosition,
        next: StorePosition,
        records: Vec<TopicRecord>,
    ) {
        let topic = match self.topic {
            Topic::Operators => news::Topic::Operators,
            Topic::Upstreams => news::Topic::Upstreams,
            Topic::Quarantines => news::Topic::Quarantines,
            Topic::Daemons | Topic::Versions => return,
        };
        if next.era == from.era && next > from {
            let delta = TopicDelta {
                topic: topic.into(),
                from_offset: from.offset,
                next_offset: next.offset,
                records,
                era: next.era,
            };
            let _ = self.deltas.try_send(delta);
        }
    }

    fn publish_replacement(&self, feed: &Feed, replaced: &Replacement, source: &str) {
        self.publish(feed, &replaced.changes);
        let Some(change) = &replaced.era_change else { return };
        log::warn!(target: "comfreymast", code = 1208, topic:? = self.topic, source,
            before:% = change.before, after:% = change.after, lost = change.lost.len(),
            resurrected = change.resurrected.len(); "store came back from an older copy");
        (self.handlers.on_era_change)(change);
    }

    /// Applies changes. Called with the feed locked, so that they are applied in order.
    fn publish(&self, feed: &Feed, changes: &[FeedChange]) {
        if !changes.is_empty() {
            (self.handlers.on_change)(changes);
        }
        self.changes.fetch_add(1, Ordering::AcqRel);
        self.position.store(Arc::new(feed.position()));
        self.is_loaded.store(feed.is_loaded(), Ordering::Release);
        self.keeps_lost_records.store(feed.keeps_lost_records(), Ordering::Release);
    }

    fn feed(&self) -> MutexGuard<'_, Feed> {
        self.feed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
