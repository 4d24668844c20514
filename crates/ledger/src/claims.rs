use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use comfreymast_base::{DaemonName, OperationId, Organisation};
use comfreymast_wire::log::{Claim, ClaimEnd, ClaimOutcome};

use crate::claim_entry::{ClaimAnswer, ClaimEntry, ClaimKey, ClaimResult, HASH_BYTES};
use crate::{Applied, Skip};

/// How much of the past the fold keeps. Every daemon must use the same bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimBounds {
    /// Claims of all organisations.
    pub claims: usize,
    /// Claims of one organisation, so that a busy one cannot push out another's.
    pub claims_per_organisation: usize,
    /// Bytes of recorded answers; past it the oldest answers are forgotten, not their claims.
    pub answer_bytes: usize,
}

impl Default for ClaimBounds {
    fn default() -> Self {
        Self { claims: 32_768, claims_per_organisation: 8_192, answer_bytes: 2 * 1024 * 1024 }
    }
}

/// The claims of non-repeatable requests, folded from the log.
///
/// The claim with the lowest offset holds its key. It holds it until its own daemon says that the
/// request was not run; no lease lapses, so a daemon that pauses cannot lose it to another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claims {
    bounds: ClaimBounds,
    entries: HashMap<ClaimKey, ClaimEntry>,
    by_offset: BTreeMap<u64, ClaimKey>,
    per_organisation: HashMap<Organisation, BTreeMap<u64, ClaimKey>>,
    answers: BTreeMap<u64, usize>,
    answer_bytes: usize,
    forgotten_unix_ms: BTreeMap<Organisation, u64>,
}

impl Claims {
    /// No claims, kept within other bounds than the default.
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

    /// Bytes of recorded answers that are kept.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// The latest time of a claim that was forgotten for its age; 0 when none was.
    ///
    /// A key drawn before that time may have been used by a claim nobody remembers.
    #[must_use]
    pub fn forgotten_unix_ms(&self, organisation: &str) -> u64 {
        self.forgotten_unix_ms.get(organisation).copied().unwrap_or(0)
    }

    /// Every claim kept, in the order of the log.
    pub fn iter(&self) -> impl Iterator<Item = (&ClaimKey, &ClaimEntry)> {
        self.by_offset.values().filter_map(|key| Some((key, self.entries.get(key)?)))
    }

    /// Folds the claim that `operation` appended at `offset`.
    pub(crate) fn claim(
        &mut self,
        offset: u64,
        operation: OperationId,
        claim: Claim,
    ) -> Result<Applied, Skip> {
        let key = ClaimKey {
            organisation: Organisation::from(claim.organisation),
            key_hash: hash(&claim.key_hash)?,
        };
        let entry = ClaimEntry {
            operation,
            offset,
            request_hash: hash(&claim.request_hash)?,
            daemon: DaemonName::from(claim.daemon),
            incarnation: claim.incarnation,
            claimed_unix_ms: claim.claimed_unix_ms,
            end: None,
        };
        let held = self.entries.get(&key);
        if held.is_some_and(|held| held.end != Some(ClaimResult::NotRun)) {
            return Ok(Applied::Claim { won: false });
        }
        self.insert(key, entry);
        Ok(Applied::Claim { won: true })
    }

    /// Folds how a claimed request ended. Only the claim that holds the key has a say, once.
    pub(crate) fn settle(&mut self, outcome: ClaimOutcome) -> Result<Applied, Skip> {
        let key = ClaimKey {
            organisation: Organisation::from(outcome.organisation),
            key_hash: hash(&outcome.key_hash)?,
        };
        let operation = OperationId::try_from(&outcome.claim_operation_id[..])
            .map_err(|_| Skip::NoOperation)?;
        let end = match ClaimEnd::try_from(outcome.end) {
            Ok(ClaimEnd::Done) => {
                ClaimResult::Done(answer(outcome.status, &outcome.content_type, outcome.body)?)
            }
            Ok(ClaimEnd::NotRun) => ClaimResult::NotRun,
            Ok(ClaimEnd::Unknown) => ClaimResult::Unknown,
            Ok(ClaimEnd::Unspecified) | Err(_) => return Err(invalid("the claim has no end")),
        };
        let Some(entry) = self.entries.get_mut(&key) else { return Ok(Applied::Ignored) };
        if entry.operation != operation || entry.end.is_some() {
            return Ok(Applied::Ignored);
        }
        let offset = entry.offset;
        let kept_bytes = answer_bytes(&end);
        entry.end = Some(end);
        if kept_bytes > 0 {
            self.answers.insert(offset, kept_bytes);
            self.answer_bytes += kept_bytes;
        }
        self.forget_answers();
        Ok(Applied::ClaimEnded)
    }

    pub(crate) fn insert(&mut self, key: ClaimKey, entry: ClaimEntry) {
        if let Some(old) = self.entries.get(&key) {
            self.remove(old.offset);
        }
        let organisation = key.organisation.clone();
        let kept_bytes = entry.end.as_ref().map_or(0, answer_bytes);
        if kept_bytes > 0 {
            self.answers.insert(entry.offset, kept_bytes);
            self.answer_bytes += kept_bytes;
        }
        self.by_offset.insert(entry.offset, key.clone());
        let own = self.per_organisation.entry(organisation.clone()).or_default();
        own.insert(entry.offset, key.clone());
        let oldest_own = own.first_key_value().map(|(offset, _)| *offset);
        let own_is_full = own.len() > self.bounds.claims_per_organisation;
        self.entries.insert(key, entry);
        if own_is_full && let Some(offset) = oldest_own {
            self.forget(offset);
        }
        if self.entries.len() > self.bounds.claims
            && let Some((&offset, _)) = self.by_offset.first_key_value()
        {
            self.forget(offset);
        }
        self.forget_answers();
    }

    /// Remembers that claims of `organisation` up to `claimed_unix_ms` were forgotten.
    pub(crate) fn note_forgotten(&mut self, organisation: Organisation, claimed_unix_ms: u64) {
        let latest = self.forgotten_unix_ms.entry(organisation).or_default();
        *latest = (*latest).max(claimed_unix_ms);
    }

    /// The latest time of a forgotten claim, by organisation.
    pub fn forgotten(&self) -> impl Iterator<Item = (&Organisation, u64)> {
        self.forgotten_unix_ms.iter().map(|(organisation, unix_ms)| (organisation, *unix_ms))
    }

    fn forget(&mut self, offset: u64) {
        let Some((key, entry)) = self.remove(offset) else { return };
        self.note_forgotten(key.organisation, entry.claimed_unix_ms);
    }

    fn remove(&mut self, offset: u64) -> Option<(ClaimKey, ClaimEntry)> {
        let key = self.by_offset.remove(&offset)?;
        if let Some(own) = self.per_organisation.get_mut(&key.organisation) {
            own.remove(&offset);
            if own.is_empty() {
                self.per_organisation.remove(&key.organisation);
            }
        }
        self.answer_bytes -= self.answers.remove(&offset).unwrap_or(0);
        let entry = self.entries.remove(&key)?;
        Some((key, entry))
    }

    fn forget_answers(&mut self) {
        while self.answer_bytes > self.bounds.answer_bytes
            && let Some((offset, kept_bytes)) = self.answers.pop_first()
        {
            self.answer_bytes -= kept_bytes;
            let entry = self.by_offset.get(&offset).and_then(|key| self.entries.get_mut(key));
            if let Some(entry) = entry {
                entry.end = Some(ClaimResult::Done(None));
            }
        }
    }
}

fn answer_bytes(end: &ClaimResult) -> usize {
    match end {
        ClaimResult::Done(Some(answer)) => answer.body.len() + answer.content_type.len(),
        _ => 0,
    }
}

/// The recorded answer; a status of 0 says that none was kept.
pub(crate) fn answer(
    status: u32,
    content_type: &str,
    body: bytes::Bytes,
) -> Result<Option<Arc<ClaimAnswer>>, Skip> {
    if status == 0 {
        return Ok(None);
    }
    let status = u16::try_from(status).map_err(|_| invalid("the status is not one of HTTP"))?;
    Ok(Some(Arc::new(ClaimAnswer { status, content_type: Arc::from(content_type), body })))
}

pub(crate) fn hash(bytes: &[u8]) -> Result<[u8; HASH_BYTES], Skip> {
    bytes.try_into().map_err(|_| invalid("a hash has 32 bytes"))
}

fn invalid(reason: &str) -> Skip {
    Skip::Invalid { reason: reason.to_owned() }
}
