use comfreymast_base::Region;

/// The regions whose upstreams may get a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionNeed {
    allowed: Option<Vec<Region>>,
}

impl RegionNeed {
    /// What the lists of a route and of an organisation allow together. Without a list, or with an empty one,
    /// there is no limit.
    #[must_use]
    pub fn of(route: Option<&[Region]>, organisation: Option<&[Region]>) -> Self {
        let route = route.filter(|list| !list.is_empty());
        let organisation = organisation.filter(|list| !list.is_empty());
        let allowed = match (route, organisation) {
            (None, None) => None,
            (Some(list), None) | (None, Some(list)) => Some(list.to_vec()),
            (Some(route), Some(organisation)) => {
                let both = route.iter().filter(|region| organisation.contains(region));
                Some(both.cloned().collect())
            }
        };
        Self { allowed }
    }

    /// What another daemon decided. Unlike in a configuration, an empty list allows no region: it is what two
    /// lists without a common region allow.
    #[must_use]
    pub fn decided(allowed: Option<Vec<Region>>) -> Self {
        Self { allowed }
    }

    /// The allowed regions; `None` for all.
    #[must_use]
    pub fn allowed(&self) -> Option<&[Region]> {
        self.allowed.as_deref()
    }

    /// True if upstreams in `region` may get the request. One whose region is not known may not, if there is
    /// a limit.
    #[must_use]
    pub fn allows(&self, region: Option<&Region>) -> bool {
        match (&self.allowed, region) {
            (None, _) => true,
            (Some(allowed), Some(region)) => allowed.contains(region),
            (Some(_), None) => false,
        }
    }

    /// True if a daemon in `region` may get the request, forwarded by one in the region `own`.
    #[must_use]
    pub fn allows_forward(&self, region: Option<&Region>, own: Option<&Region>) -> bool {
        self.allows(region) || (region.is_some() && region == own)
    }
}
