//! Prints the size of a snapshot of 8,700 contracts and the time to take and restore it.

use std::time::Instant;

use comfreymast_base::OperationId;
use comfreymast_ledger::Ledger;
use comfreymast_wire::log::{ContractChange, Record, record};
use prost::Message;

const ORGANISATIONS: u64 = 8_700;
const REVISIONS: u64 = 16;

fn document(organisation: u64, revision: u64) -> String {
    let mut document = format!(
        "organisation = \"organisation-{organisation}\"\n\
        [limits]\nconcurrent_requests = 64\nrequests_per_s = {}\ntokens_per_s = 20000\n",
        revision + 1
    );
    for key in 0..2 {
        let hash = format!("{:064x}", organisation * 2 + key);
        document.push_str(&format!("[[keys]]\nname = \"key-{key}\"\nsha256 = \"{hash}\"\n"));
    }
    for kind in ["report", "verdict"] {
        document.push_str(&format!(
            "[[work]]\nkind = \"{kind}\"\nmodel = \"m\"\npriority = 7\n\
            max_output_tokens = 20000\nrepeatable = true\n"
        ));
    }
    document.push_str("[[routes]]\nprefix = \"/drawings\"\nservice = \"s\"\nmethods = [\"GET\"]\n");
    document
}

fn main() {
    let mut ledger = Ledger::default();
    let mut offset = 0;
    let started = Instant::now();
    for revision in 0..REVISIONS {
        for organisation in 0..ORGANISATIONS {
            let change = ContractChange {
                organisation: format!("organisation-{organisation}"),
                base_revision: revision,
                document: document(organisation, revision),
                author: "operator@example".to_owned(),
                published_unix_ms: 1_750_000_000_000,
            };
            let record = Record {
                operation_id: OperationId::random().to_vec().into(),
                body: Some(record::Body::Contract(change)),
            };
            ledger.apply(offset, &record.encode_to_vec());
            offset += 1;
        }
    }
    let apply_us = started.elapsed().as_micros() / u128::from(offset);
    println!("{} contracts, {offset} records, {apply_us} us per record", ledger.contracts().len());
    let started = Instant::now();
    let snapshot = ledger.snapshot(0);
    println!("document_bytes {}", document(1, 1).len());
    println!("snapshot_bytes {}", snapshot.encoded_len());
    println!("snapshot_ms {}", started.elapsed().as_millis());
    let started = Instant::now();
    let restored = Ledger::restore(&snapshot).map(|ledger| ledger.contracts().len());
    println!("restore_ms {} for {restored:?}", started.elapsed().as_millis());
}
