//! Definition of the command line. Doc comments in the macro are the help text.
#![allow(missing_docs, unreachable_pub, clippy::all)]

use std::path::PathBuf;
use std::sync::LazyLock;

xflags::xflags! {
    /// Serves generations of unknown length on crowded engines.
    ///
    /// Exit codes: 0 done, 1 failed, 2 bad usage or settings, 3 conflict with another change,
    /// 4 done but some daemons have not answered, 5 outcome unknown. A failure is told on standard
    /// error, as JSON with `--format json`.
    cmd comfreymast {
        /// The operators' port of any daemon, IP:PORT (or COMFREYMAST_OPERATORS).
        optional --operators operators: String
        /// The operator key (or COMFREYMAST_OPERATOR_KEY).
        optional --operator-key operator_key: String
        /// Print `table` or `json`.
        optional --format format: String
        /// Print the version.
        optional --version

        /// Run a daemon. Each flag has an environment variable: --log-addr is COMFREYMAST_LOG_ADDR.
        cmd daemon {
            /// Check the settings and exit.
            optional --check
            /// The name of this VM, as the VM list has it.
            optional --name name: String
            /// The data centre of this VM.
            optional --data-centre data_centre: String
            /// The platform's log service, IP:PORT.
            optional --log-addr log_addr: String
            /// The platform's VM list, IP:PORT.
            optional --vms-addr vms_addr: String
            /// The secret that daemons prove to each other, 16 bytes or more.
            optional --fleet-key fleet_key: String
            /// Where callers connect, IP:PORT; default 0.0.0.0:8080.
            optional --callers-addr callers_addr: String
            /// Where operators connect, IP:PORT; default 0.0.0.0:8081.
            optional --operators-addr operators_addr: String
            /// Where other daemons connect, IP:PORT; default 0.0.0.0:8082.
            optional --peers-addr peers_addr: String
            /// Executor threads, 1 to 256; default 4.
            optional --threads threads: String
            /// Time between heartbeats to peers, 20 to 10000; default 250.
            optional --heartbeat-interval-ms heartbeat_interval_ms: String
            /// Time between reads of the VM list, 20 to 10000; default 500.
            optional --vms-interval-ms vms_interval_ms: String
            /// Time between snapshots on the log, 100 to 604800000; at most a third of its retention; default 3600000.
            optional --snapshot-interval-ms snapshot_interval_ms: String
            /// Records between snapshots on the log, 10 to 100000000; default 100000.
            optional --snapshot-records snapshot_records: String
            /// Time between load reports of an engine, 20 to 10000; default 200.
            optional --load-interval-ms load_interval_ms: String
            /// How long an open stream may say nothing, 100 to 600000; default 5000.
            optional --silence-ms silence_ms: String
            /// How long a plain service may take, 100 to 600000; default 30000.
            optional --call-limit-ms call_limit_ms: String
            /// How long a request's head may take, 100 to 600000; default 10000.
            optional --header-timeout-ms header_timeout_ms: String
            /// How long a request's body may take, 100 to 600000; default 30000.
            optional --body-timeout-ms body_timeout_ms: String
            /// Time between comments on a quiet stream, 100 to 600000; default 10000.
            optional --keepalive-ms keepalive_ms: String
            /// How long a caller may leave data unread, 100 to 600000; default 30000.
            optional --reader-stall-ms reader_stall_ms: String
            /// Time to serve on while not ready, 0 to 600000; default 5000.
            optional --drain-grace-ms drain_grace_ms: String
            /// When a drain hands streams over, 0 to 86400000; default 300000.
            optional --drain-limit-ms drain_limit_ms: String
            /// The longest request body, 1024 to 268435456; default 4194304.
            optional --max-body-bytes max_body_bytes: String
            /// The memory of this VM in MB, 16 to 1048576; default 512.
            optional --memory-mb memory_mb: String
            /// The descriptors it may have open, 64 to 1048576; default 32768.
            optional --max-fds max_fds: String
        }

        /// Run a daemon on the platform, which writes its settings file.
        cmd serve {
            /// Check the settings and exit.
            optional --check
            /// A port for metrics alone, 1 to 65535; default is none beside the peers' port.
            optional --metrics-port metrics_port: u16
            /// The settings file of this VM; default is where the platform says.
            optional --settings settings: PathBuf
        }

        /// Check a configuration before it is deployed, and tell what it changes. Never writes.
        ///
        /// Exit codes: 0 valid, 1 warnings with --deny-warnings, 2 errors, or nothing could be checked.
        cmd check {
            /// The document.
            required file: PathBuf
            /// The version in force, to tell what changes.
            optional --against against: PathBuf
            /// The platform's store, IP:PORT, to read the version in force and the upstreams from.
            optional --store store: String
            /// The settings file of a VM, for the regions of data centres.
            optional --settings settings: PathBuf
            /// Print JSON.
            optional --json
            /// Exit with 1 if there are warnings.
            optional --deny-warnings
            /// The memory of the smallest VM that runs a daemon; default 88.
            optional --memory-mb memory_mb: u64
        }

        /// Tell a request's story from collected logs of `serve`.
        cmd explain {
            /// The identifier that the caller sent.
            required request: String
            /// The log files of all daemons.
            repeated log: PathBuf
        }

        /// Publish, read and check contracts.
        cmd contract {
            /// Publish a contract from a TOML file.
            cmd put {
                /// The document.
                required file: PathBuf
                /// The revision it was written against; by default the one in force now.
                optional --base base: u64
                /// Who publishes it.
                optional --author author: String
                /// The operation id of an earlier try, to ask for its outcome; give the same --base.
                optional --operation operation: String
            }
            /// Print the contract in force.
            cmd get {
                required organisation: String
                /// Read the log to its end first, so that no earlier change is missed.
                optional --fresh
            }
            /// List all contracts.
            cmd list {
                /// Read the log to its end first, so that no earlier change is missed.
                optional --fresh
            }
            /// Print the latest revisions of a contract.
            cmd history { required organisation: String }
            /// Check a document without publishing it.
            cmd check-contract check { required file: PathBuf }
        }

        /// Show what a daemon knows of itself and the fleet.
        cmd status {}

        /// Tell a daemon to finish its requests and stop.
        cmd drain {}

        /// Requests that are refused because upstreams died of them.
        cmd quarantine {
            /// The platform's store, IP:PORT, for daemons that `serve`; default is the operators'
            /// port of a daemon.
            optional --store store: String
            /// List quarantined requests.
            cmd list-quarantined list {}
            /// Let a request run again.
            cmd lift {
                /// Its fingerprint, as `list` prints it.
                required fingerprint: String
            }
        }

        /// Report on service levels.
        cmd report {
            /// How fast each organisation's error budget burns, over all daemons.
            cmd burn {
                /// Also write a self-contained page with plots.
                optional --html html: PathBuf
            }
        }

        /// Show every setting with its environment variable and default.
        cmd config {}
    }
}

/// The macro makes a type of each command, so command names are unique: the second `list` is named
/// `list-quarantined` with the alias `list`, and the `check` of contracts likewise. The help shows only the alias.
static HELP: LazyLock<String> =
    LazyLock::new(|| Comfreymast::HELP_.replace(LIST_NAMES, "list").replace(CHECK_NAMES, "check"));
const LIST_NAMES: &str = "list-quarantined | list";
const CHECK_NAMES: &str = "check-contract | check";

/// The help text of all commands.
pub(crate) fn help_text() -> &'static str {
    &HELP
}
