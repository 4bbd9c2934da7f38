//! What can be asked for, with its help.

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Sends requests and jobs to a fulmarswitch fleet, and operates it
///
///
/// Answers go to standard output, progress and errors to standard error.
///
///
/// Exit codes: 0 done, 1 refused or failed, 2 wrong usage or input, 3 no host answered, 4 may have run, 5
/// another change came first.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(command_options))]
pub struct CommandOptions {
    /// Caller address of any host of the fleet; may be given several times, in case one is down
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
    /// Sending the same key again gives the same answer.
    #[bpaf(command)]
    Request(#[bpaf(external(request_options))] RequestOptions),
    /// Calls a plain service; the call runs at most once
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
    /// Shows the hosts of the fleet
    #[bpaf(command)]
    Status {
        /// Print JSON
        json: bool,
    },
    /// Asks a host to finish its requests, hand over and stop
    #[bpaf(command)]
    Drain {
        /// Name of the host
        #[bpaf(positional("HOST"))]
        name: String,
    },
    /// Shows the addresses that a caller is told to use
    #[bpaf(command)]
    Addresses,
    /// Merges the events of all hosts into one time line
    ///
    ///
    /// A cause always stands before its effect, whatever the hosts' clocks say.
    #[bpaf(command)]
    Timeline {
        /// Only events whose entity contains this text, such as a key, job, host or record
        #[bpaf(argument("TEXT"))]
        entity: Option<String>,
        /// Print one JSON object a line
        json: bool,
    },
    /// Puts the log lines of one request, job or host in order of time
    ///
    ///
    /// Reads the hosts' logs; needs no host. Lines that are torn are counted and left out.
    #[bpaf(command)]
    Explain {
        /// Print the lines as they stand in the logs
        json: bool,
        /// Identity of the request, job or item, or name of a host or endpoint
        #[bpaf(positional("ID"))]
        id: String,
        /// Log files; standard input when none is named
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Drives online requests at a fixed rate beside a batch job, and reports percentiles
    #[bpaf(command)]
    Load(#[bpaf(external(load_options))] LoadOptions),
}

/// One request to a model.
#[derive(Bpaf, Clone, Debug)]
pub struct RequestOptions {
    /// Idempotency key, unique within the workspace; made up if not given
    #[bpaf(argument("KEY"))]
    pub key: Option<String>,
    /// Workspace that the request belongs to
    #[bpaf(argument("NAME"))]
    pub workspace: String,
    /// Service that answers it
    #[bpaf(argument("NAME"))]
    pub service: String,
    /// Most tokens to generate (default: 128)
    #[bpaf(argument("COUNT"), fallback(128))]
    pub max_tokens: u32,
    /// Milliseconds to wait for the whole answer (default: 30000)
    #[bpaf(argument("MS"), fallback(30_000))]
    pub deadline_ms: u64,
    /// Run the request at most once, also when its endpoint is lost
    pub at_most_once: bool,
    /// Text for the model
    #[bpaf(positional("INPUT"))]
    pub input: String,
}

/// One call to a plain service.
#[derive(Bpaf, Clone, Debug)]
pub struct CallOptions {
    /// Idempotency key, unique within the workspace; made up if not given
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
    /// The call may be repeated when its endpoint is lost
    pub idempotent: bool,
    /// Text for the service
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
    /// Submits a job; doing it again with the same id and items is harmless
    #[bpaf(command)]
    Submit(#[bpaf(external(submit_options))] SubmitOptions),
    /// Shows the counts of a job
    #[bpaf(command("status"))]
    JobStatus {
        /// Wait until no item is open, with progress
        wait: bool,
        /// Name of the job.
        #[bpaf(external(scoped_name))]
        name: ScopedName,
    },
    /// Prints all results as one JSON object a line, reading them page by page
    #[bpaf(command)]
    Results {
        /// Index of the first item (default: 0)
        #[bpaf(argument("INDEX"), fallback(0))]
        first: u32,
        /// Items read in one page (default: 500)
        #[bpaf(argument("COUNT"), fallback(500))]
        page: u32,
        /// Name of the job.
        #[bpaf(external(scoped_name))]
        name: ScopedName,
    },
    /// Stops a job; finished items keep their results
    #[bpaf(command)]
    Cancel(#[bpaf(external(scoped_name))] ScopedName),
}

/// A job to submit.
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
    /// Most tokens to generate for an item (default: 128)
    #[bpaf(argument("COUNT"), fallback(128))]
    pub max_tokens: u32,
    /// Run each item at most once
    pub at_most_once: bool,
    /// Each line is a JSON object {"input": TEXT}; otherwise each line is an input as it stands
    pub json_lines: bool,
    /// Wait until no item is open, with progress
    pub wait: bool,
    /// File of items, one a line; - for standard input
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
    /// operator was faster.
    #[bpaf(command)]
    Put {
        /// Version that the change builds on; 0 for a new record
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
        /// Version that the change builds on
        #[bpaf(argument("VERSION"))]
        base: Option<u64>,
        /// service/NAME, endpoint/NAME, workspace/NAME or model/NAME
        #[bpaf(positional("RECORD"))]
        name: String,
    },
    /// Shows on which hosts which version of a record is in force
    #[bpaf(command("where"))]
    AppliedVersions {
        /// service/NAME, endpoint/NAME, workspace/NAME or model/NAME
        #[bpaf(positional("RECORD"))]
        name: String,
    },
}

/// An open-loop load.
#[derive(Bpaf, Clone, Debug)]
pub struct LoadOptions {
    /// Workspace that the requests belong to
    #[bpaf(argument("NAME"))]
    pub workspace: String,
    /// Service that answers them
    #[bpaf(argument("NAME"))]
    pub service: String,
    /// Online requests a second; arrivals are drawn at random (default: 20)
    #[bpaf(argument("NUMBER"), fallback(20.0))]
    pub rate: f64,
    /// Seconds to run, up to 3600 (default: 10)
    #[bpaf(argument("NUMBER"), fallback(10))]
    pub seconds: u64,
    /// Seed of arrivals and inputs (default: 1)
    #[bpaf(argument("NUMBER"), fallback(1))]
    pub seed: u64,
    /// Tokens of each answer (default: 32)
    #[bpaf(argument("COUNT"), fallback(32))]
    pub tokens: u32,
    /// Milliseconds to the first token that count as in time (default: 520)
    #[bpaf(argument("MS"), fallback(520))]
    pub first_token_ms: u64,
    /// Milliseconds to the whole answer that count as in time (default: 30000)
    #[bpaf(argument("MS"), fallback(30_000))]
    pub deadline_ms: u64,
    /// Items of a batch job beside the online requests (default: none)
    #[bpaf(argument("COUNT"), fallback(0))]
    pub batch_items: u32,
    /// Tokens of each batch item (default: 64)
    #[bpaf(argument("COUNT"), fallback(64))]
    pub batch_tokens: u32,
    /// Most online requests in progress; more are counted as not sent (default: 1000)
    #[bpaf(argument("COUNT"), fallback(1_000))]
    pub in_progress: usize,
    /// Print the report as JSON
    pub json: bool,
}
