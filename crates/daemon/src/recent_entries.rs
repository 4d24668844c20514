use std::collections::VecDeque;

use bytes::Bytes;

const MAX_KEPT_BYTES: usize = 4 * 1024 * 1024;
/// A page for a peer ends with the record that reaches this size.
const MAX_PAGE_BYTES: usize = 1024 * 1024;

/// The latest applied records, at consecutive offsets.
#[derive(Debug, Default)]
pub(crate) struct RecentEntries {
    entries: VecDeque<(u64, Bytes)>,
    kept_bytes: usize,
}

impl RecentEntries {
    /// Appends the records that follow the last one, evicting the oldest beyond the size limit.
    pub(crate) fn extend<'a>(&mut self, entries: impl Iterator<Item = &'a (u64, Bytes)>) {
        for (offset, record) in entries {
            self.kept_bytes += record.len();
            self.entries.push_back((*offset, record.clone()));
        }
        while self.kept_bytes > MAX_KEPT_BYTES
            && let Some((_, record)) = self.entries.pop_front()
        {
            self.kept_bytes -= record.len();
        }
    }

    /// Removes all records, as needed when a snapshot replaces the state.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// One page of records from `offset` on, or `None` if the record at `offset` is not kept.
    pub(crate) fn page(&self, offset: u64) -> Option<Vec<(u64, Bytes)>> {
        let (first, _) = self.entries.front()?;
        let index = usize::try_from(offset.checked_sub(*first)?).ok()?;
        let mut page_bytes = 0;
        let page = self.entries.iter().skip(index).take_while(|(_, record)| {
            let fits = page_bytes < MAX_PAGE_BYTES;
            page_bytes += record.len();
            fits
        });
        let page: Vec<_> = page.cloned().collect();
        (!page.is_empty()).then_some(page)
    }
}
