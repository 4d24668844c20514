use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use comfreymast_base::{GenerationId, Kind, Model, Organisation, Upstream};
use comfreymast_wire::cursor;
use derive_more::{Display, Error};
use hmac::{Hmac, Mac};
use prost::Message;
use sha2::Sha256;

type CursorMac = Hmac<Sha256>;

const MAC_BYTES: usize = 16;
/// Separates the MACs of cursors from all other uses of the fleet key.
const MAC_LABEL: &[u8] = b"comfreymast cursor 1";

/// The position of a reader in a stream. Any daemon can resume from it without shared state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// The organisation that made the request.
    pub organisation: Organisation,
    /// The engine that ran the generation.
    pub upstream: Upstream,
    /// The generation.
    pub generation: GenerationId,
    /// The fence of its tokens.
    pub fence: u64,
    /// The number of tokens already read.
    pub read_tokens: u32,
    /// The model.
    pub model: Model,
    /// The kind of work, as named in the contract.
    pub kind: Kind,
    /// The digest of the model, the prompt and the token limit of the request.
    pub request_digest: u64,
    /// The digest of the text of the tokens already read.
    pub text_digest: u64,
}

/// Why a text is not a valid cursor of this fleet.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum CursorError {
    /// It is not base64, is too short, or its content could not be decoded.
    #[display("the cursor could not be decoded")]
    Malformed,
    /// It was not sealed with the fleet key, or was modified.
    #[display("the cursor was not sealed by this fleet, or was modified")]
    Forged,
}

/// Seals and opens cursors with the fleet key.
#[derive(Clone)]
pub struct CursorSeal {
    mac: CursorMac,
}

impl std::fmt::Debug for CursorSeal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("CursorSeal(..)")
    }
}

impl CursorSeal {
    /// Creates a seal with the fleet key.
    #[must_use]
    pub fn new(fleet_key: &[u8]) -> Self {
        let mut mac = <CursorMac as Mac>::new_from_slice(fleet_key)
            .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
        mac.update(MAC_LABEL);
        Self { mac }
    }

    /// Encodes a cursor as the text that a reader gets as the id of an event.
    #[must_use]
    pub fn seal(&self, cursor: &Cursor) -> String {
        let mut bytes = cursor.to_wire().encode_to_vec();
        let mac = self.mac.clone().chain_update(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&mac[..MAC_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes and verifies the output of [`CursorSeal::seal`].
    ///
    /// # Errors
    ///
    /// [`CursorError`]; the content of a forged cursor is not decoded.
    pub fn open(&self, text: &str) -> Result<Cursor, CursorError> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| CursorError::Malformed)?;
        let body_bytes = bytes.len().checked_sub(MAC_BYTES).ok_or(CursorError::Malformed)?;
        let (body, mac) = bytes.split_at(body_bytes);
        let expected = self.mac.clone().chain_update(body);
        expected.verify_truncated_left(mac).map_err(|_| CursorError::Forged)?;
        let wire = cursor::Cursor::decode(body).map_err(|_| CursorError::Malformed)?;
        Cursor::from_wire(wire).ok_or(CursorError::Malformed)
    }
}

impl Cursor {
    fn to_wire(&self) -> cursor::Cursor {
        cursor::Cursor {
            organisation: self.organisation.to_string(),
            upstream: self.upstream.to_string(),
            generation: self.generation.to_vec().into(),
            fence: self.fence,
            read_tokens: self.read_tokens,
            model: self.model.to_string(),
            kind: self.kind.to_string(),
            request_digest: self.request_digest,
            text_digest: self.text_digest,
        }
    }

    fn from_wire(wire: cursor::Cursor) -> Option<Self> {
        Some(Self {
            organisation: Organisation::from(wire.organisation),
            upstream: Upstream::from(wire.upstream),
            generation: GenerationId::try_from(wire.generation.as_ref()).ok()?,
            fence: wire.fence,
            read_tokens: wire.read_tokens,
            model: Model::from(wire.model),
            kind: Kind::from(wire.kind),
            request_digest: wire.request_digest,
            text_digest: wire.text_digest,
        })
    }
}
