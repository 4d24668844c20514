use super::Fingerprint;

/// What a request is recognised by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestContent {
    /// Identifies all of the request, so equal requests have equal fingerprints.
    pub fingerprint: Fingerprint,
    /// Identifies the parts of its prompt that other requests may share.
    pub parts: Vec<Fingerprint>,
}

impl RequestContent {
    /// A request without parts.
    #[must_use]
    pub fn whole(fingerprint: Fingerprint) -> Self {
        Self { fingerprint, parts: Vec::new() }
    }

    /// The fingerprint of the request, then those of its parts.
    pub fn iter(&self) -> impl Iterator<Item = &Fingerprint> {
        std::iter::once(&self.fingerprint).chain(&self.parts)
    }

    /// True if this is the fingerprint of the request or of one of its parts.
    #[must_use]
    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.iter().any(|own| own == fingerprint)
    }

    /// True if the request has all these fingerprints.
    #[must_use]
    pub fn contains_all(&self, fingerprints: &[Fingerprint]) -> bool {
        fingerprints.iter().all(|wanted| self.contains(wanted))
    }
}
