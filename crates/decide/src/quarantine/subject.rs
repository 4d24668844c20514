use xxhash_rust::xxh3::xxh3_128;

use super::Fingerprint;

const TAG_BYTES: usize = 8;
const PART_TAG: [u8; TAG_BYTES] = *b"part\0\0\0\0";
const HASHED_PART_TAG: [u8; TAG_BYTES] = *b"part#\0\0\0";
const SET_TAG: [u8; TAG_BYTES] = *b"parts\0\0\0";

/// What a fingerprint identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubjectKind {
    /// A whole request.
    Request,
    /// A part of prompts.
    Part,
}

impl SubjectKind {
    /// The kind that a fingerprint tells. A hash has the tag of a part by chance only.
    #[must_use]
    pub fn of(fingerprint: &Fingerprint) -> Self {
        let is_part =
            fingerprint.starts_with(&PART_TAG) || fingerprint.starts_with(&HASHED_PART_TAG);
        if is_part { Self::Part } else { Self::Request }
    }
}

/// The fingerprint of a part of prompts. One of a usual length can be read back with [`part_id`].
#[must_use]
pub fn part_fingerprint(id: &str) -> Fingerprint {
    let bytes = id.as_bytes();
    let mut fingerprint = Fingerprint::default();
    let (tag, content) = fingerprint.split_at_mut(TAG_BYTES);
    if bytes.len() <= content.len() {
        tag.copy_from_slice(&PART_TAG);
        content[..bytes.len()].copy_from_slice(bytes);
    } else {
        tag.copy_from_slice(&HASHED_PART_TAG);
        let hash = xxh3_128(bytes).to_be_bytes();
        content[..hash.len()].copy_from_slice(&hash);
    }
    fingerprint
}

/// The identifier of a part; `None` for another fingerprint, or one of a very long identifier.
#[must_use]
pub fn part_id(fingerprint: &Fingerprint) -> Option<&str> {
    let content = fingerprint.strip_prefix(&PART_TAG)?;
    let text = std::str::from_utf8(content).ok()?;
    Some(text.trim_end_matches('\0'))
}

/// The key of what is quarantined together: of one member itself, of several parts a hash.
#[must_use]
pub fn quarantine_key(members: &[Fingerprint]) -> Fingerprint {
    if let [member] = members {
        return *member;
    }
    let mut sorted = members.to_vec();
    sorted.sort_unstable();
    let hash = xxh3_128(&sorted.concat()).to_be_bytes();
    let mut key = Fingerprint::default();
    key[..TAG_BYTES].copy_from_slice(&SET_TAG);
    key[TAG_BYTES..TAG_BYTES + hash.len()].copy_from_slice(&hash);
    key
}
