//! Definitions of the subcommands and flags.
//!
//! The doc comments of the items below are the help texts that users see.

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Sends requests and jobs to a fulmarswitch fleet, and operates it
///
///
/// Results go to standard output, progress and errors to standard error.
///
///
/// Exit codes: 0 success, 1 refused or failed, 2 invalid usage or input, 3 no host answered, 4 may have run, 5
/// conflict with another change.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(command_options))]
pub struct CommandOptions {
    /// Caller address of any host of the fleet; repeat to name alternatives for when a host is down
    #[bpaf(argument("IP:PORT"), env("FULMARSWITCH_HOST"))]
    pub host: Vec<SocketAddr>,
    /// Commands
    #[bpaf(external(command))]
    pub command: Command,
}

/// Commands:
#[derive(Bpaf, Clone, Debug)]
pub enum Command {
    /// Sends a request to a model and streams the answer
    ///
    ///
    /// Sending the same request again with the same key returns the same answer.
    #[bpaf(command)]
    Request(#[bpaf(external(request_options))] RequestOptions),
    /// Calls a plain service; unless --idempotent is given, the call runs at most once
    #[bpaf(command)]
    Call(#[bpaf(external(call_options))] CallOptions),
    /// Reads the outcome of a request or call by its key
    #[bpaf(command("result"))]
    Outcome(#[bpaf(external(scoped_name))] ScopedName),
    /// Submits, watches and cancels batch jobs
    #[bpaf(command)]
    Job(#[bpaf(external(job_command))] JobCommand),
    /// Publishes and reads configuration records
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// Shows the hosts of the fleet and their status
    #[bpaf(command)]
    Status {
        /// Print JSON
        json: bool,
    },
    /// Drains a host: it finishes its requests, hands over its work and stops
    #[bpaf(command)]
    Drain {
        /// Name of the host
        #[bpaf(positional("HOST"))]
        name: String,
    },
    /// Shows the host addresses that callers are told to use
    #[bpaf(command)]
    Addresses,
    /// Merges the events of all hosts into one timeline
    ///
    ///
    /// Every cause precedes its effects, even if the clocks of the hosts differ.
    #[bpaf(command)]
    Timeline {
        /// Only events whose entity contains this text, such as a key, job, host or record
        #[bpaf(argument("TEXT"))]
        entity: Option<String>,
        /// Print one JSON object per line
        json: bool,
    },
    /// Shows the log lines about one request, job or host, sorted by time
    ///
    ///
    /// Reads log files of the hosts and contacts no host. Malformed lines are counted and skipped.
    #[bpaf(command)]
    Explain {
        /// Print the unparsed JSON log lines
        json: bool,
        /// Id of the request, job or item, or name of the host or endpoint
        #[bpaf(positional("ID"))]
        id: String,
        /// Log files (default: standard input)
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Sends online requests at a fixed rate, optionally beside a batch job, and reports latency percentiles
    #[bpaf(command)]
    Load(#[bpaf(external(load_options))] LoadOptions),
}

/// Options of `request`.
#[derive(Bpaf, Clone, Debug)]
pub struct RequestOptions {
    /// Idempotency key, unique within the workspace; generated if omitted
    #[bpaf(argument("KEY"))]
    pub key: Option<String>,
    /// Workspace that the request belongs to
    #[bpaf(argument("NAME"))]
    pub workspace: String,
    /// Service that answers it
    #[bpaf(argument("NAME"))]
    pub service: String,
    /// Maximum number of tokens to generate (default: 128)
    #[bpaf(argument("COUNT"), fallback(128))]
    pub max_tokens: u32,
    /// Milliseconds to wait for the complete answer (default: 30000)
    #[bpaf(argument("MS"), fallback(30_000))]
    pub deadline_ms: u64,
    /// Run the request at most once; it is not retried if its endpoint fails
    pub at_most_once: bool,
    /// Input text for the model
    #[bpaf(positional("INPUT"))]
    pub input: String,
}

/// Options of `call`.
#[derive(Bpaf, Clone, Debug)]
pub struct CallOptions {
    /// Idempotency key, unique within the workspace; generated if omitted
    #[bpaf(argument("KEY"))]
    pub key: Option<String>,
    /// Workspace that the call belongs to
    #[bpaf(argument("NAME"))]
    pub workspace: String,
    /// Service that answers it
    #[bpaf(argument("NAME"))]
    pub service: String,
    /// Milliseconds to wait for the answer (default: 30000)
    #[bpaf(argument("MS"), fallback(30_000))]
    pub deadline_ms: u64,
    /// The call may be retried if its endpoint fails
    pub idempotent: bool,
    /// Input text for the service
    #[bpaf(positional("INPUT"))]
    pub input: String,
}

/// A request or job
#[derive(Bpaf, Clone, Debug)]
pub struct ScopedName {
    /// Workspace that it belongs to
    #[bpaf(argument("NAME"))]
    pub workspace: String,
    /// Key or job id
    #[bpaf(positional("NAME"))]
    pub name: String,
}

/// Commands on batch jobs.
#[derive(Bpaf, Clone, Debug)]
pub enum JobCommand {
    /// Submits a job; submitting the same id and items again has no effect
    #[bpaf(command)]
    Submit(#[bpaf(external(submit_options))] SubmitOptions),
    /// Shows the item counts of a job
    #[bpaf(command("status"))]
    JobStatus {
        /// Wait until no item is open, showing progress
        wait: bool,
        /// Name of the job.
        #[bpaf(external(scoped_name))]
        name: ScopedName,
    },
    /// Prints all results, one JSON object per line, reading them page by page
    #[bpaf(command)]
    Results {
        /// Index of the first item (default: 0)
        #[bpaf(argument("INDEX"), fallback(0))]
        first: u32,
        /// Items per page (default: 500)
        #[bpaf(argument("COUNT"), fallback(500))]
        page: u32,
        /// Name of the job.
        #[bpaf(external(scoped_name))]
        name: ScopedName,
    },
    /// Cancels a job; finished items keep their results
    #[bpaf(command)]
    Cancel(#[bpaf(external(scoped_name))] ScopedName),
}

/// Options of `job submit`.
#[derive(Bpaf, Clone, Debug)]
pub struct SubmitOptions {
    /// Id of the job, unique within the workspace
    #[bpaf(argument("ID"))]
    pub job: String,
    /// Workspace that the job belongs to
    #[bpaf(argument("NAME"))]
    pub workspace: String,
    /// Service that runs the items
    #[bpaf(argument("NAME"))]
    pub service: String,
    /// Seconds from now until the job is due (default: 86400)
    #[bpaf(argument("SECONDS"), fallback(86_400))]
    pub due_in: u64,
    /// Maximum number of tokens to generate per item (default: 128)
    #[bpaf(argument("COUNT"), fallback(128))]
    pub max_tokens: u32,
    /// Run each item at most once
    pub at_most_once: bool,
    /// Parse each line as a JSON object {"input": TEXT}; otherwise each line is an input verbatim
    pub json_lines: bool,
    /// Wait until no item is open, showing progress
    pub wait: bool,
    /// File of items, one per line; - for standard input
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Commands on configuration records.
#[derive(Bpaf, Clone, Debug)]
pub enum ConfigCommand {
    /// Publishes a record
    ///
    ///
    /// Without --base the version in force is read first. With it, the change is refused if another
    /// operator has published a version since.
    #[bpaf(command)]
    Put {
        /// Version that the change is based on; 0 for a new record
        #[bpaf(argument("VERSION"))]
        base: Option<u64>,
        /// Schema version of the body (default: 1)
        #[bpaf(argument("VERSION"), fallback(1))]
        schema: u16,
        /// service/NAME, endpoint/NAME, workspace/NAME or model/NAME
        #[bpaf(positional("RECORD"))]
        name: String,
        /// JSON body, or - to read it from standard input
        #[bpaf(positional("BODY"))]
        body: String,
    },
    /// Shows one record
    #[bpaf(command)]
    Get {
        /// service/NAME, endpoint/NAME, workspace/NAME or model/NAME
        #[bpaf(positional("RECORD"))]
        name: String,
    },
    /// Lists all records in force
    #[bpaf(command)]
    List,
    /// Deletes a record
    #[bpaf(command)]
    Delete {
        /// Version that the deletion is based on (default: the version in force)
        #[bpaf(argument("VERSION"))]
        base: Option<u64>,
        /// service/NAME, endpoint/NAME, workspace/NAME or model/NAME
        #[bpaf(positional("RECORD"))]
        name: String,
    },
    /// Shows which version of a record is in force on each host
    #[bpaf(command("where"))]
    AppliedVersions {
        /// service/NAME, endpoint/NAME, workspace/NAME or model/NAME
        #[bpaf(positional("RECORD"))]
        name: String,
    },
}

/// Options of `load`.
#[derive(Bpaf, Clone, Debug)]
pub struct LoadOptions {
    /// Workspace that the requests belong to
    #[bpaf(argument("NAME"))]
    pub workspace: String,
    /// Service that answers them
    #[bpaf(argument("NAME"))]
    pub service: String,
    /// Mean rate of online requests per second, with Poisson arrivals (default: 20)
    #[bpaf(argument("NUMBER"), fallback(20.0))]
    pub rate: f64,
    /// Seconds to run, up to 3600 (default: 10)
    #[bpaf(argument("NUMBER"), fallback(10))]
    pub seconds: u64,
    /// Seed of the arrival times and inputs (default: 1)
    #[bpaf(argument("NUMBER"), fallback(1))]
    pub seed: u64,
    /// Maximum tokens per answer (default: 32)
    #[bpaf(argument("COUNT"), fallback(32))]
    pub tokens: u32,
    /// Limit in milliseconds up to which a first token counts as in time (default: 520)
    #[bpaf(argument("MS"), fallback(520))]
    pub first_token_ms: u64,
    /// Deadline of each request in milliseconds, and limit for the complete answer (default: 30000)
    #[bpaf(argument("MS"), fallback(30_000))]
    pub deadline_ms: u64,
    /// Items of a batch job to run beside the online requests (default: 0, no job)
    #[bpaf(argument("COUNT"), fallback(0))]
    pub batch_items: u32,
    /// Maximum tokens per batch item (default: 64)
    #[bpaf(argument("COUNT"), fallback(64))]
    pub batch_tokens: u32,
    /// Maximum number of online requests in flight; beyond it, due requests are counted as not sent (default: 1000)
    #[bpaf(argument("COUNT"), fallback(1_000))]
    pub in_progress: usize,
    /// Print the report as JSON
    pub json: bool,
}
