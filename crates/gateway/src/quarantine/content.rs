use comfreymast_decide::quarantine::{Fingerprint, RequestContent, part_fingerprint};
use sha2::{Digest, Sha256};

use crate::call::Call;

/// What identifies a request: its content, and the parts of its prompt that others may share.
pub(super) fn content(call: &Call) -> &RequestContent {
    call.content.get_or_init(|| RequestContent {
        fingerprint: fingerprint(call),
        parts: call.head.shared_parts.iter().map(|id| part_fingerprint(id)).collect(),
    })
}

/// Gives up the memory of a long body that cannot be sent again, once what identifies its request is known.
pub(crate) fn release_body(call: &Call) {
    const LONG_BODY_BYTES: usize = 64 * 1024;
    if call.body.bytes().len() > LONG_BODY_BYTES {
        content(call);
        call.body.release();
    }
}

/// Hashes what a caller sends again when it retries a request: method, host, path, organisation and
/// body. The identifier of the attempt differs each time.
fn fingerprint(call: &Call) -> Fingerprint {
    let organisation = call.key_holder.as_ref().map_or("", |holder| holder.organisation.as_str());
    let head = [
        call.parts.method.as_str(),
        &call.head.host,
        call.parts.uri.path_and_query().map_or("", |path| path.as_str()),
        organisation,
    ];
    let mut hasher = Sha256::new();
    for part in head {
        hasher.update(part.as_bytes());
        // A line feed is an unambiguous separator: no part of a head contains one.
        hasher.update(b"\n");
    }
    hasher.update(call.body.bytes());
    hasher.finalize().into()
}
