use std::path::PathBuf;
use std::sync::Arc;
use std::time::SystemTime;

use async_channel::Receiver;
use comfreymast_net::within;
use comfreymast_platform::VmSettings;

use crate::dispatch::Dispatch;

/// Reloads the settings on request, or when their file has changed, until `reload` closes.
pub(crate) async fn watch_settings(dispatch: Arc<Dispatch>, path: PathBuf, reload: Receiver<()>) {
    let mut known = modified(&path);
    loop {
        let request = within(dispatch.options.settings_interval_ms, reload.recv()).await;
        let is_requested = match request {
            Ok(Err(_)) => return,
            Ok(Ok(())) => true,
            Err(_) => false,
        };
        let now = modified(&path);
        if !is_requested && now == known {
            continue;
        }
        known = now;
        match VmSettings::read(&path) {
            Ok(settings) => {
                log::info!(target: "comfreymast", code = 1004, asked = is_requested;
                    "settings reloaded");
                dispatch.settings.store(Arc::new(settings));
            }
            Err(error) => {
                log::error!(target: "comfreymast", code = 1005, error:%;
                    "invalid settings ignored, the previous ones stay in use");
            }
        }
    }
}

fn modified(path: &std::path::Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
