use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::{Request, Response};

use super::state::{RequestProgress, State};
use crate::{Body, Handler};

/// A handler whose requests tell their connection how far they are.
#[derive(Clone)]
pub struct GuardedHandler {
    handler: Handler,
    state: Arc<State>,
}

impl GuardedHandler {
    pub(super) fn new(handler: Handler, state: Arc<State>) -> Self {
        Self { handler, state }
    }

    /// Responds to a request. It is under way until its answer was handed to the connection.
    pub fn respond(
        &self,
        mut request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send + use<> {
        let progress = Arc::new(RequestProgress::begin(&self.state));
        if request.body().is_end_stream() {
            progress.mark_whole();
        }
        request.extensions_mut().insert(progress.clone());
        let responding = (self.handler)(request);
        async move {
            let response = responding.await;
            // A response is owed now, also to a request that was not read.
            progress.mark_whole();
            response.map(|body| {
                let held = body.map_frame(move |frame| {
                    let _progress = &progress;
                    frame
                });
                held.boxed_unsync()
            })
        }
    }
}
