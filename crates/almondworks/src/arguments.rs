//! The command line's arguments.
//!
//! Names of fields and variants are the names of flags and commands.

use {
    gumdrop::Options,
    std::{net::SocketAddr, path::PathBuf},
};

/// A router for servers that own keys exclusively.
///
/// Exit codes: 0 success; 1 failure; 2 invalid arguments, settings or configuration; 3 conflict
/// with another change; 4 success, but some entries could not be reached.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    pub(crate) version: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "run an entry")]
    Entry(EntryArguments),
    #[options(help = "check, read or change the operators' configuration")]
    Config(ConfigArguments),
    #[options(help = "show the cells, targets and entries")]
    Status(QueryArguments),
    #[options(help = "explain which target owns a key, and why")]
    Why(WhyArguments),
    #[options(help = "show recent decisions, with the process and the time of each")]
    History(HistoryArguments),
    #[options(help = "drain a target, or end its drain")]
    Drain(DrainArguments),
    #[options(help = "vouch that all processes on a VM have ended")]
    Vouch(VouchArguments),
    #[options(help = "explain from structured logs what happened to a request")]
    Explain(ExplainArguments),
    #[options(help = "show how fast services use up their error budgets")]
    Burn(BurnArguments),
}

#[derive(Debug, Options)]
pub(crate) struct EntryArguments {
    help: bool,
    #[options(required, meta = "FILE", help = "the settings file")]
    pub(crate) settings: PathBuf,
}

#[derive(Debug, Options)]
pub(crate) struct ExplainArguments {
    help: bool,
    #[options(help = "print JSON")]
    pub(crate) json: bool,
    #[options(
        free,
        required,
        help = "the id of the request, then log files; without files, reads standard input"
    )]
    pub(crate) words: Vec<String>,
}

#[derive(Debug, Options)]
pub(crate) struct ConfigArguments {
    help: bool,
    #[options(command)]
    pub(crate) command: Option<ConfigCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum ConfigCommand {
    #[options(help = "check a configuration without sending it")]
    Check(FileArguments),
    #[options(help = "print the configuration in force")]
    Get(QueryArguments),
    #[options(help = "replace the configuration, if it is still at the given version")]
    Put(PutArguments),
    #[options(help = "compare a file with the configuration in force")]
    Diff(DiffArguments),
    #[options(help = "print an earlier version of the configuration")]
    Log(LogArguments),
}

#[derive(Debug, Options)]
pub(crate) struct FileArguments {
    help: bool,
    #[options(free, required, help = "the configuration file")]
    pub(crate) file: PathBuf,
}

#[derive(Debug, Options)]
pub(crate) struct QueryArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operator address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(help = "print JSON")]
    pub(crate) json: bool,
}

#[derive(Debug, Options)]
pub(crate) struct PutArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operator address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(
        required,
        help = "the version that the change is based on; 0 for the first configuration"
    )]
    pub(crate) base: u64,
    #[options(default = "unnamed", help = "the author of the change")]
    pub(crate) by: String,
    #[options(free, required, help = "the configuration file")]
    pub(crate) file: PathBuf,
}

#[derive(Debug, Options)]
pub(crate) struct DiffArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operator address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(free, required, help = "the configuration file")]
    pub(crate) file: PathBuf,
}

#[derive(Debug, Options)]
pub(crate) struct LogArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operator address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(free, required, help = "the version")]
    pub(crate) version: u64,
}

#[derive(Debug, Options)]
pub(crate) struct WhyArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operator address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(help = "print JSON")]
    pub(crate) json: bool,
    #[options(free, required, help = "the service")]
    pub(crate) service: String,
    #[options(free, required, help = "the key")]
    pub(crate) key: String,
}

#[derive(Debug, Options)]
pub(crate) struct HistoryArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operator address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(help = "print JSON")]
    pub(crate) json: bool,
    #[options(default = "40", help = "the maximum number of records to show")]
    pub(crate) limit: usize,
    #[options(help = "show only records of the last SINCE seconds")]
    pub(crate) since: Option<u64>,
    #[options(no_short, help = "show only records about this service")]
    pub(crate) service: Option<String>,
}

#[derive(Debug, Options)]
pub(crate) struct DrainArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operator address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(no_short, help = "end the drain of the target")]
    pub(crate) undo: bool,
    #[options(default = "unnamed", help = "the author of the request")]
    pub(crate) by: String,
    #[options(free, required, help = "the target")]
    pub(crate) vm: String,
}

#[derive(Debug, Options)]
pub(crate) struct VouchArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operator address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(default = "unnamed", help = "the author of the statement")]
    pub(crate) by: String,
    #[options(no_short, required, help = "the name of the VM again, as confirmation")]
    pub(crate) confirm: String,
    #[options(free, required, help = "the VM on which all processes have ended permanently")]
    pub(crate) vm: String,
}

#[derive(Debug, Options)]
pub(crate) struct BurnArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operator address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(help = "print JSON")]
    pub(crate) json: bool,
    #[options(no_short, meta = "FILE", help = "also write an HTML page with plots")]
    pub(crate) html: Option<PathBuf>,
}
