use std::path::Path;

use comfreymast_base::OperationId;
use comfreymast_contract::Contract;
use comfreymast_daemon::operators::{ContractSummary, ContractView, PublishReply};
use comfreymast_net::{Query, empty, full};

use crate::api::ApiClient;
use crate::failure::Failure;
use crate::flags::{Comfreymast, ContractCmd, Get, Put};
use crate::output::{Format, write_line};

/// Runs the subcommands of `comfreymast contract`.
pub(crate) fn run(
    flags: &Comfreymast,
    command: &ContractCmd,
    format: Format,
) -> Result<(), Failure> {
    match command {
        ContractCmd::CheckContract(check) => check_file(&check.file, format),
        ContractCmd::Put(put) => publish(&ApiClient::new(flags)?, put, format),
        ContractCmd::Get(get) => print_document(&ApiClient::new(flags)?, get, format),
        ContractCmd::List(list) => print_list(&ApiClient::new(flags)?, list.fresh, format),
        ContractCmd::History(history) => {
            print_history(&ApiClient::new(flags)?, &history.organisation, format)
        }
    }
}

fn read_document(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path)
        .map_err(|source| Failure::ReadFile { path: path.to_owned(), source })
}

fn check_file(path: &Path, format: Format) -> Result<(), Failure> {
    let contract = Contract::parse(&read_document(path)?)?;
    format.print_done(&format!("the contract of {} is good", contract.organisation))
}

fn publish(api: &ApiClient, put: &Put, format: Format) -> Result<(), Failure> {
    let document = read_document(&put.file)?;
    let organisation = Contract::parse(&document)?.organisation;
    let base = match put.base {
        Some(base) => base,
        None => revision_in_force(api, organisation.as_str())?,
    };
    let operation = match &put.operation {
        Some(text) => text.parse().map_err(|_| Failure::Usage {
            flag: "--operation",
            rule: "must be the 32 hexadecimal digits of an earlier try",
        })?,
        None => OperationId::random(),
    };
    let query = Query::default()
        .with("base", &base.to_string())
        .with("author", put.author.as_deref().unwrap_or("operator"))
        .with("operation", &operation.to_string())
        .with("first", if put.operation.is_none() { "true" } else { "false" });
    let path = format!("/contracts/{organisation}?{query}");
    let reply = api.call("PUT", &path, full(document)).map_err(|failure| match failure {
        // The daemon may have appended the change although its answer was lost.
        Failure::Call(reason) if !reason.is_unsent() => {
            Failure::PublishUnknown { reason, operation, base }
        }
        other => other,
    })?;
    let reply: PublishReply = serde_json::from_slice(&reply)?;
    let row = vec![
        organisation.to_string(),
        reply.revision.to_string(),
        reply.offset.to_string(),
        reply.accepted.to_string(),
        reply.operation.clone(),
    ];
    let header = ["ORGANISATION", "REVISION", "OFFSET", "ACCEPTED", "OPERATION"];
    format.print(&reply, &header, &[row])?;
    if reply.accepted { Ok(()) } else { Err(Failure::Unconfirmed { lagging: reply.lagging }) }
}

fn revision_in_force(api: &ApiClient, organisation: &str) -> Result<u64, Failure> {
    match fetch_view(api, organisation, false) {
        Ok(view) => Ok(view.revision),
        Err(Failure::Operator(error)) if error.code == "no_contract" => Ok(0),
        Err(failure) => Err(failure),
    }
}

fn fetch_view(api: &ApiClient, organisation: &str, fresh: bool) -> Result<ContractView, Failure> {
    let reply =
        api.call("GET", &format!("/contracts/{organisation}{}", fresh_query(fresh)), empty())?;
    Ok(serde_json::from_slice(&reply)?)
}

fn fresh_query(fresh: bool) -> &'static str {
    if fresh { "?fresh=true" } else { "" }
}

fn print_document(api: &ApiClient, get: &Get, format: Format) -> Result<(), Failure> {
    let view = fetch_view(api, &get.organisation, get.fresh)?;
    if format == Format::Table {
        return write_line(view.document.trim_end());
    }
    format.print(&view, &[], &[])
}

fn print_list(api: &ApiClient, fresh: bool, format: Format) -> Result<(), Failure> {
    let reply = api.call("GET", &format!("/contracts{}", fresh_query(fresh)), empty())?;
    let list: Vec<ContractSummary> = serde_json::from_slice(&reply)?;
    let rows: Vec<_> = list
        .iter()
        .map(|summary| {
            vec![
                summary.organisation.clone(),
                summary.revision.to_string(),
                summary.enabled.to_string(),
                summary.kinds.join(","),
            ]
        })
        .collect();
    format.print(&list, &["ORGANISATION", "REVISION", "ENABLED", "KINDS"], &rows)
}

fn print_history(api: &ApiClient, organisation: &str, format: Format) -> Result<(), Failure> {
    let history = fetch_view(api, organisation, false)?.history;
    let rows: Vec<_> = history
        .iter()
        .map(|revision| {
            vec![
                revision.revision.to_string(),
                revision.offset.to_string(),
                revision.author.clone(),
                revision.published_unix_ms.to_string(),
                revision.operation.clone(),
            ]
        })
        .collect();
    format.print(&history, &["REVISION", "OFFSET", "AUTHOR", "UNIX_MS", "OPERATION"], &rows)
}
