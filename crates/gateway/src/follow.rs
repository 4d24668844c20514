use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::Sender;
use comfreymast_base::Clock;
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_platform::{KeyedRecord, NewestRecords, StoreClient, StoreError, StorePage, Topic};
use comfreymast_wire::news::{self, TopicDelta, TopicRecord, TopicSnapshot};
use event_listener::Event;
use futures_lite::future;

use crate::feed::{Feed, FeedChange};

const LEAST_BACKOFF_MS: u64 = 100;
const MOST_BACKOFF_MS: u64 = 800;

/// Called with each batch of changes, in order.
type OnChange = Box<dyn Fn(&[FeedChange]) + Send + Sync>;

/// One topic of the store that this daemon follows, from the store itself or from its peers.
pub(crate) struct Followed {
    topic: Topic,
    clock: Clock,
    feed: Mutex<Feed>,
    on_change: OnChange,
    next_offset: AtomicU64,
    is_loaded: AtomicBool,
    answers: AtomicBool,
    heard_ms: AtomicU64,
    wait_ms: AtomicU64,
    hurry: Event,
    read: Sender<TopicDelta>,
}

impl Followed {
    /// The wait of a daemon that leaves reading to others.
    pub(crate) const NOT_READ_MS: u64 = u64::MAX;

    /// Follows `topic` from its beginning; `on_change` puts changes in force, and what is read of
    /// the store goes to `read` for peers.
    pub(crate) fn new(
        topic: Topic,
        clock: Clock,
        wait_ms: u64,
        on_change: OnChange,
        read: Sender<TopicDelta>,
    ) -> Self {
        Self {
            topic,
            clock,
            feed: Mutex::default(),
            on_change,
            next_offset: AtomicU64::new(0),
            is_loaded: AtomicBool::new(false),
            answers: AtomicBool::new(false),
            heard_ms: AtomicU64::new(0),
            wait_ms: AtomicU64::new(wait_ms),
            hurry: Event::new(),
            read,
        }
    }

    /// The offset of the next record that is expected.
    pub(crate) fn next_offset(&self) -> u64 {
        self.next_offset.load(Ordering::Acquire)
    }

    /// True once all keys were read at least once.
    pub(crate) fn is_loaded(&self) -> bool {
        self.is_loaded.load(Ordering::Acquire)
    }

    /// True while the store answers.
    pub(crate) fn answers(&self) -> bool {
        self.answers.load(Ordering::Acquire)
    }

    /// The time since the store last answered.
    pub(crate) fn heard_age_ms(&self) -> u64 {
        self.clock.now_ms().saturating_sub(self.heard_ms.load(Ordering::Acquire))
    }

    /// Asks the store to wait `wait_ms` for a change; a shorter time holds at once.
    pub(crate) fn set_wait_ms(&self, wait_ms: u64) {
        if wait_ms < self.wait_ms.swap(wait_ms, Ordering::AcqRel) {
            self.hurry();
        }
    }

    /// True when the feed has a record of `key`.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.feed().snapshot().records.iter().any(|record| record.key == key)
    }

    /// What a peer is given that cannot read the store.
    pub(crate) fn snapshot(&self) -> TopicSnapshot {
        self.feed().snapshot()
    }

    /// Takes in what a peer knows, unless this daemon knows more.
    pub(crate) fn take_snapshot(&self, snapshot: TopicSnapshot) {
        let records = snapshot.records.into_iter().map(|record| KeyedRecord {
            offset: record.offset,
            key: record.key,
            value: Some(record.value),
        });
        let mut feed = self.feed();
        let changes = feed.replace(records.collect(), snapshot.next_offset);
        self.publish(&feed, &changes);
    }

    /// Takes in records that a peer has just read, if none is missing before them.
    pub(crate) fn take_delta(&self, delta: TopicDelta) {
        let mut feed = self.feed();
        if !feed.is_loaded() || delta.from_offset > feed.next_offset() {
            return;
        }
        let records = delta.records.into_iter().map(|record| KeyedRecord {
            offset: record.offset,
            key: record.key,
            value: (!record.value.is_empty()).then_some(record.value),
        });
        let changes = feed.apply(records.collect(), delta.next_offset);
        self.publish(&feed, &changes);
    }

    /// Makes the follower ask the store again at once, on a new connection.
    pub(crate) fn hurry(&self) {
        self.hurry.notify(usize::MAX);
    }

    fn take_newest(&self, newest: NewestRecords) {
        let mut feed = self.feed();
        let (was_loaded, from_offset) = (feed.is_loaded(), feed.next_offset());
        let changes = feed.replace(newest.records, newest.end_offset);
        if was_loaded {
            let records = changes.iter().map(|change| TopicRecord {
                key: change.key.clone(),
                // The records between are gone, so what they came to is told as one change.
                offset: newest.end_offset.saturating_sub(1),
                value: change.value.clone().unwrap_or_default(),
            });
            self.pass_on(from_offset, newest.end_offset, records.collect());
        }
        self.publish(&feed, &changes);
    }

    fn take_page(&self, page: StorePage) {
        let records = page.records.iter().map(|record| TopicRecord {
            key: record.key.clone(),
            offset: record.offset,
            value: record.value.clone().unwrap_or_default(),
        });
        self.pass_on(self.next_offset(), page.next_offset, records.collect());
        let mut feed = self.feed();
        let changes = feed.apply(page.records, page.next_offset);
        self.publish(&feed, &changes);
    }

    /// Gives peers what was read of the store. Those that miss it notice from heartbeats that they
    /// are behind.
    fn pass_on(&self, from_offset: u64, next_offset: u64, records: Vec<TopicRecord>) {
        let topic = match self.topic {
            Topic::Operators => news::Topic::Operators,
            Topic::Upstreams => news::Topic::Upstreams,
            Topic::Daemons => return,
        };
        if next_offset > from_offset {
            let delta = TopicDelta { topic: topic.into(), from_offset, next_offset, records };
            let _ = self.read.try_send(delta);
        }
    }

    /// Runs under the feed's lock, so that changes are put in force in order.
    fn publish(&self, feed: &Feed, changes: &[FeedChange]) {
        if !changes.is_empty() {
            (self.on_change)(changes);
        }
        self.next_offset.store(feed.next_offset(), Ordering::Release);
        self.is_loaded.store(feed.is_loaded(), Ordering::Release);
    }

    fn feed(&self) -> MutexGuard<'_, Feed> {
        self.feed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Follows one topic for as long as the daemon runs.
pub(crate) async fn follow(spawner: Spawner, followed: Arc<Followed>, addr: std::net::SocketAddr) {
    let mut client = StoreClient::new(spawner, addr);
    let mut must_reload = true;
    let mut backoff_ms = LEAST_BACKOFF_MS;
    let mut is_lost = false;
    loop {
        let hurried = followed.hurry.listen();
        let step =
            future::or(async { Some(step(&followed, &mut client, must_reload).await) }, async {
                hurried.await;
                None
            });
        match step.await {
            None => client.reconnect(),
            Some(Ok(())) => {
                must_reload = false;
                followed.answers.store(true, Ordering::Release);
                followed.heard_ms.store(followed.clock.now_ms(), Ordering::Release);
                backoff_ms = LEAST_BACKOFF_MS;
                if std::mem::take(&mut is_lost) {
                    log::info!(target: "comfreymast", code = 1202, topic:? = followed.topic,
                        offset = followed.next_offset(); "store answers again");
                }
            }
            Some(Err(StoreError::Deleted)) => must_reload = true,
            Some(Err(error)) => {
                followed.answers.store(false, Ordering::Release);
                if !std::mem::replace(&mut is_lost, true) {
                    log::warn!(target: "comfreymast", code = 1201, topic:? = followed.topic,
                        offset = followed.next_offset(), error:%; "store does not answer");
                }
                client.reconnect();
                sleep_ms(comfreymast_decide::retry::jittered_ms(backoff_ms / 2, rand::random()))
                    .await;
                backoff_ms = (backoff_ms * 2).min(MOST_BACKOFF_MS);
            }
        }
    }
}

async fn step(
    followed: &Followed,
    client: &mut StoreClient,
    must_reload: bool,
) -> Result<(), StoreError> {
    if !must_reload && followed.wait_ms.load(Ordering::Acquire) == Followed::NOT_READ_MS {
        // Ends when this daemon is to read again, or a peer's word is missing.
        future::pending::<()>().await;
    }
    if must_reload {
        followed.take_newest(client.newest(followed.topic).await?);
    } else {
        let wait_ms = followed.wait_ms.load(Ordering::Acquire);
        let page = client.read(followed.topic, followed.next_offset(), wait_ms).await?;
        followed.take_page(page);
    }
    Ok(())
}
