use std::collections::BTreeMap;

use comfreymast_decide::room::peers::{ClassLoad, WaitClass, WaitLoads};
use comfreymast_wire::news::{QueueClass, ServiceQueue};

/// Reports that are older do not count, since what they tell of has started or left by then.
const MAX_AGE_MS: u64 = 1_000;

/// What waits at several daemons, by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueNews {
    by_service: BTreeMap<String, Queue>,
}

#[derive(Clone, Debug, Default)]
struct Queue {
    loads: WaitLoads,
    age_ms: u64,
}

impl QueueNews {
    /// Adds a report that arrived `age_ms` ago, unless it is too old.
    pub(crate) fn add(&mut self, queues: &[ServiceQueue], age_ms: u64) {
        for queue in queues {
            let age_ms = age_ms + u64::from(queue.age_ms);
            if age_ms > MAX_AGE_MS {
                continue;
            }
            let sum = self.by_service.entry(queue.service.clone()).or_default();
            sum.age_ms = sum.age_ms.max(age_ms);
            for class in &queue.classes {
                let key = WaitClass {
                    priority: u8::try_from(class.priority).unwrap_or(u8::MAX),
                    is_large: class.is_large,
                };
                let load = sum.loads.entry(key).or_default();
                let told = ClassLoad { count: class.count.into(), tokens: class.tokens };
                *load = load.plus(told);
            }
        }
    }

    /// The sums, in the form of a peer message.
    pub(crate) fn messages(&self) -> Vec<ServiceQueue> {
        let queues = self.by_service.iter();
        queues.map(|(service, queue)| message(service, &queue.loads, queue.age_ms)).collect()
    }

    /// The sums by service.
    pub(crate) fn into_loads(self) -> BTreeMap<String, WaitLoads> {
        let queues = self.by_service.into_iter();
        queues.map(|(service, queue)| (service, queue.loads)).collect()
    }
}

/// What waits at one service, in the form of a peer message.
pub(crate) fn message(service: &str, loads: &WaitLoads, age_ms: u64) -> ServiceQueue {
    let classes = loads.iter().map(|(class, load)| QueueClass {
        priority: class.priority.into(),
        is_large: class.is_large,
        count: u32::try_from(load.count).unwrap_or(u32::MAX),
        tokens: load.tokens,
    });
    ServiceQueue {
        service: service.to_owned(),
        classes: classes.collect(),
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    }
}
