use bytes::Bytes;
use comfreymast_base::{Service, SoftwareVersion};
use comfreymast_decide::version_history::ServiceVersion;
use comfreymast_decide::version_records::{
    CompleteMark, MARK_KEY, RecordChanges, VersionRecords, record_key,
};
use comfreymast_platform::NewestRecords;
use comfreymast_wire::news::{VersionMark, VersionRecord};
use prost::Message;

/// The format of the records that this software writes, and the only one that it reads.
const FORMAT: u32 = 1;

/// Decodes the records of the store.
pub(super) fn decode(newest: NewestRecords) -> VersionRecords {
    let mut records = VersionRecords { era: newest.end.era, ..VersionRecords::default() };
    for record in newest.records {
        let Some(value) = record.value else { continue };
        let is_readable = if record.key == MARK_KEY {
            records.mark = decode_mark(value);
            records.mark.is_some()
        } else {
            let version = decode_version(value);
            let is_readable =
                version.as_ref().is_some_and(|version| record_key(version) == record.key);
            records.versions.extend(version.filter(|_| is_readable));
            is_readable
        };
        records.has_unreadable |= !is_readable;
    }
    records
}

fn decode_mark(value: Bytes) -> Option<CompleteMark> {
    let mark = VersionMark::decode(value).ok().filter(|mark| mark.format == FORMAT)?;
    Some(CompleteMark { era: mark.era, take_up_ms: mark.take_up_ms })
}

fn decode_version(value: Bytes) -> Option<ServiceVersion> {
    let record = VersionRecord::decode(value).ok().filter(|record| record.format == FORMAT)?;
    Some(ServiceVersion {
        service: Service::from(record.service.as_str()),
        version: record.has_version.then(|| SoftwareVersion::from(record.version.as_str())),
    })
}

/// The keys and values to write; an empty value removes its key.
pub(super) fn encode(changes: &RecordChanges, daemon: &str) -> Vec<(String, Vec<u8>)> {
    let added = changes.added.iter().map(|version| {
        let record = VersionRecord {
            format: FORMAT,
            service: version.service.as_str().to_owned(),
            version: version.version.as_ref().map(ToString::to_string).unwrap_or_default(),
            has_version: version.version.is_some(),
            daemon: daemon.to_owned(),
        };
        (record_key(version), record.encode_to_vec())
    });
    let removed = changes.removed.iter().map(|version| (record_key(version), Vec::new()));
    let mark = changes.mark.map(|mark| {
        let CompleteMark { era, take_up_ms } = mark;
        let mark = VersionMark { format: FORMAT, era, take_up_ms, daemon: daemon.to_owned() };
        (MARK_KEY.to_owned(), mark.encode_to_vec())
    });
    added.chain(removed).chain(mark).collect()
}
