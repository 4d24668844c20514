use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use comfreymast_base::{DaemonName, OperationId, Organisation};
use comfreymast_wire::log::{Claim, ClaimEnd, ClaimOutcome};

use crate::claim_entry::{ClaimEntry, ClaimKey, ClaimResult, HASH_BYTES, RecordedResponse};
use crate::{Applied, SkipReason};

/// How many claims and responses are kept. Every daemon must use the same bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimBounds {
    /// Claims of all organisations.
    pub claims: usize,
    /// Claims of one organisation, so that a busy one cannot evict the claims of another.
    pub claims_per_organisation: usize,
    /// Bytes of recorded responses; above it the oldest responses are dropped, not their claims.
    pub response_bytes: usize,
}

impl Default for ClaimBounds {
    fn default() -> Self {
        Self { claims: 32_768, claims_per_organisation: 8_192, response_bytes: 2 * 1024 * 1024 }
    }
}

/// The claims of non-repeatable requests, as the log records them.
///
/// The claim with the lowest offset holds its key until the daemon that made it records that the
/// request was not run. Claims have no lease, so a paused daemon cannot lose its key to another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claims {
    bounds: ClaimBounds,
    entries: HashMap<ClaimKey, ClaimEntry>,
    by_offset: BTreeMap<u64, ClaimKey>,
    per_organisation: HashMap<Organisation, BTreeMap<u64, ClaimKey>>,
    response_bytes_by_offset: BTreeMap<u64, usize>,
    response_bytes: usize,
    evicted_unix_ms: BTreeMap<Organisation, u64>,
}

impl Claims {
    /// An empty set of claims with the given bounds.
    #[must_use]
    pub fn with_bounds(bounds: ClaimBounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// The claim that holds or held a key.
    #[must_use]
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimEntry> {
        self.entries.get(key)
    }

    /// How many claims are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True when no claim is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of the recorded responses that are kept.
    #[must_use]
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// The latest time of an evicted claim of `organisation`; 0 when none was evicted.
    ///
    /// An idempotency key generated before that time may have been used by an evicted claim.
    #[must_use]
    pub fn evicted_unix_ms(&self, organisation: &str) -> u64 {
        self.evicted_unix_ms.get(organisation).copied().unwrap_or(0)
    }

    /// Every claim kept, in the order of the log.
    pub fn iter(&self) -> impl Iterator<Item = (&ClaimKey, &ClaimEntry)> {
        self.by_offset.values().filter_map(|key| Some((key, self.entries.get(key)?)))
    }

    /// Applies the claim that `operation` appended at `offset`.
    pub(crate) fn claim(
        &mut self,
        offset: u64,
        operation: OperationId,
        claim: Claim,
    ) -> Result<Applied, SkipReason> {
        let key = ClaimKey {
            organisation: Organisation::from(claim.organisation),
            key_hash: parse_hash(&claim.key_hash)?,
        };
        let entry = ClaimEntry {
            operation,
            offset,
            request_hash: parse_hash(&claim.request_hash)?,
            daemon: DaemonName::from(claim.daemon),
            incarnation: claim.incarnation,
            claimed_unix_ms: claim.claimed_unix_ms,
            end: None,
        };
        let current = self.entries.get(&key);
        if current.is_some_and(|current| current.end != Some(ClaimResult::NotRun)) {
            return Ok(Applied::Claim { won: false });
        }
        self.insert(key, entry);
        Ok(Applied::Claim { won: true })
    }

    /// Applies the outcome of a claimed request. Only the first outcome of the claim that holds
    /// the key counts.
    pub(crate) fn record_outcome(&mut self, outcome: ClaimOutcome) -> Result<Applied, SkipReason> {
        let key = ClaimKey {
            organisation: Organisation::from(outcome.organisation),
            key_hash: parse_hash(&outcome.key_hash)?,
        };
        let operation = OperationId::try_from(&outcome.claim_operation_id[..])
            .map_err(|_| SkipReason::NoOperation)?;
        let end = match ClaimEnd::try_from(outcome.end) {
            Ok(ClaimEnd::Done) => ClaimResult::Done(parse_response(
                outcome.status,
                &outcome.content_type,
                outcome.body,
            )?),
            Ok(ClaimEnd::NotRun) => ClaimResult::NotRun,
            Ok(ClaimEnd::Unknown) => ClaimResult::Unknown,
            Ok(ClaimEnd::Unspecified) | Err(_) => return Err(invalid("the outcome has no end")),
        };
        let Some(entry) = self.entries.get_mut(&key) else { return Ok(Applied::Ignored) };
        if entry.operation != operation || entry.end.is_some() {
            return Ok(Applied::Ignored);
        }
        let offset = entry.offset;
        let entry_bytes = response_bytes(&end);
        entry.end = Some(end);
        if entry_bytes > 0 {
            self.response_bytes_by_offset.insert(offset, entry_bytes);
            self.response_bytes += entry_bytes;
        }
        self.evict_responses();
        Ok(Applied::ClaimEnded)
    }

    pub(crate) fn insert(&mut self, key: ClaimKey, entry: ClaimEntry) {
        if let Some(replaced) = self.entries.get(&key) {
            self.remove(replaced.offset);
        }
        let organisation = key.organisation.clone();
        let entry_bytes = entry.end.as_ref().map_or(0, response_bytes);
        if entry_bytes > 0 {
            self.response_bytes_by_offset.insert(entry.offset, entry_bytes);
            self.response_bytes += entry_bytes;
        }
        self.by_offset.insert(entry.offset, key.clone());
        let organisation_claims = self.per_organisation.entry(organisation.clone()).or_default();
        organisation_claims.insert(entry.offset, key.clone());
        let oldest_offset = organisation_claims.first_key_value().map(|(offset, _)| *offset);
        let is_over_bound = organisation_claims.len() > self.bounds.claims_per_organisation;
        self.entries.insert(key, entry);
        if is_over_bound && let Some(offset) = oldest_offset {
            self.evict(offset);
        }
        if self.entries.len() > self.bounds.claims
            && let Some((&offset, _)) = self.by_offset.first_key_value()
        {
            self.evict(offset);
        }
        self.evict_responses();
    }

    /// Records that claims of `organisation` made up to `claimed_unix_ms` were evicted.
    pub(crate) fn record_eviction(&mut self, organisation: Organisation, claimed_unix_ms: u64) {
        let latest = self.evicted_unix_ms.entry(organisation).or_default();
        *latest = (*latest).max(claimed_unix_ms);
    }

    /// The latest time of an evicted claim, by organisation.
    pub fn evicted(&self) -> impl Iterator<Item = (&Organisation, u64)> {
        self.evicted_unix_ms.iter().map(|(organisation, unix_ms)| (organisation, *unix_ms))
    }

    fn evict(&mut self, offset: u64) {
        let Some((key, entry)) = self.remove(offset) else { return };
        self.record_eviction(key.organisation, entry.claimed_unix_ms);
    }

    fn remove(&mut self, offset: u64) -> Option<(ClaimKey, ClaimEntry)> {
        let key = self.by_offset.remove(&offset)?;
        if let Some(organisation_claims) = self.per_organisation.get_mut(&key.organisation) {
            organisation_claims.remove(&offset);
            if organisation_claims.is_empty() {
                self.per_organisation.remove(&key.organisation);
            }
        }
        self.response_bytes -= self.response_bytes_by_offset.remove(&offset).unwrap_or(0);
        let entry = self.entries.remove(&key)?;
        Some((key, entry))
    }

    fn evict_responses(&mut self) {
        while self.response_bytes > self.bounds.response_bytes
            && let Some((offset, entry_bytes)) = self.response_bytes_by_offset.pop_first()
        {
            self.response_bytes -= entry_bytes;
            let entry = self.by_offset.get(&offset).and_then(|key| self.entries.get_mut(key));
            if let Some(entry) = entry {
                entry.end = Some(ClaimResult::Done(None));
            }
        }
    }
}

fn response_bytes(end: &ClaimResult) -> usize {
    match end {
        ClaimResult::Done(Some(response)) => response.body.len() + response.content_type.len(),
        _ => 0,
    }
}

/// The recorded response; a status of 0 means that none was kept.
pub(crate) fn parse_response(
    status: u32,
    content_type: &str,
    body: bytes::Bytes,
) -> Result<Option<Arc<RecordedResponse>>, SkipReason> {
    if status == 0 {
        return Ok(None);
    }
    let status = u16::try_from(status).map_err(|_| invalid("the status is above 65535"))?;
    Ok(Some(Arc::new(RecordedResponse { status, content_type: Arc::from(content_type), body })))
}

pub(crate) fn parse_hash(bytes: &[u8]) -> Result<[u8; HASH_BYTES], SkipReason> {
    bytes.try_into().map_err(|_| invalid("a hash must have 32 bytes"))
}

fn invalid(reason: &str) -> SkipReason {
    SkipReason::Invalid { reason: reason.to_owned() }
}
