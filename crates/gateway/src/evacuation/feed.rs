use std::sync::Arc;

use comfreymast_base::DataCentre;
use comfreymast_net::sleep_ms;
use comfreymast_platform::EVACUATION_PREFIX;

use crate::dispatch::Dispatch;
use crate::feed::FeedChange;

/// How long after an evacuation was heard of its data centre is looked for. A daemon that has just started
/// knows its upstreams by then.
const LOOK_UP_MS: u64 = 2_000;

/// Applies changes of the operators' feed. The value of a record does not matter: its key is there or not.
pub(crate) fn apply_changes(dispatch: &Arc<Dispatch>, changes: &[FeedChange]) {
    for change in changes {
        let Some(name) = change.key.strip_prefix(EVACUATION_PREFIX) else { continue };
        if name.is_empty() {
            continue;
        }
        let data_centre = DataCentre::from(name);
        match change.value {
            Some(_) => begin(dispatch, data_centre, change.is_news),
            None => end(dispatch, &data_centre),
        }
    }
}

fn begin(dispatch: &Arc<Dispatch>, data_centre: DataCentre, is_news: bool) {
    let since_ms = is_news.then(|| dispatch.clock.now_ms());
    let is_new = dispatch.evacuation.update(|known| known.begin(data_centre.clone(), since_ms));
    if !is_new {
        return;
    }
    let upstreams = dispatch.directory.load();
    let inside = upstreams.all().filter(|upstream| upstream.record.data_centre == data_centre);
    let mut count = 0;
    for upstream in inside {
        upstream.pool.clear();
        count += 1;
    }
    log::warn!(target: "comfreymast", code = 1320, data_centre = data_centre.as_str(),
        upstreams = count, is_news; "evacuation of a data centre began");
    announce_change(dispatch);
    let later = dispatch.clone();
    dispatch.spawner.detach(async move {
        sleep_ms(LOOK_UP_MS).await;
        record_count(&later);
        let is_evacuated = later.evacuation.load().is_evacuated(&data_centre);
        if is_evacuated && !later.knows_data_centre(&data_centre) {
            log::warn!(target: "comfreymast", code = 1322, data_centre = data_centre.as_str();
                "evacuation names an unknown data centre");
        }
    });
}

fn end(dispatch: &Arc<Dispatch>, data_centre: &DataCentre) {
    let now_ms = dispatch.clock.now_ms();
    if dispatch.evacuation.update(|known| known.end(data_centre, now_ms)) {
        log::info!(target: "comfreymast", code = 1321, data_centre = data_centre.as_str();
            "evacuation of a data centre ended");
        announce_change(dispatch);
    }
}

fn announce_change(dispatch: &Dispatch) {
    record_count(dispatch);
    // Peers that cannot reach the store learn from the positions in it that they are behind.
    dispatch.notify_peers();
}

fn record_count(dispatch: &Dispatch) {
    let count = dispatch.evacuated().len();
    dispatch.metrics.evacuated_data_centres.set(i64::try_from(count).unwrap_or(i64::MAX));
}
