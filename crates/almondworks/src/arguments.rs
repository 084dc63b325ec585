//! The arguments.

use {
    gumdrop::Options,
    std::{net::SocketAddr, path::PathBuf},
};

/// A router for servers that own keys exclusively.
///
/// Exit codes: 0 done; 1 failed; 2 wrong arguments, settings or text; 3 another change came first;
/// 4 done, but some entries could not be reached.
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
    #[options(help = "check, read or change the operators' text")]
    Config(ConfigArguments),
    #[options(help = "show the cells, targets and entries")]
    Status(AskArguments),
    #[options(help = "explain who owns a key, and on what grounds")]
    Why(WhyArguments),
    #[options(help = "show what was decided, by whom and when")]
    History(HistoryArguments),
    #[options(help = "empty a target, or no longer")]
    Drain(DrainArguments),
    #[options(help = "state that everything on a VM has ended")]
    Vouch(VouchArguments),
    #[options(help = "explain from logs what happened to a request")]
    Explain(ExplainArguments),
    #[options(help = "show how fast services use up what their objectives allow")]
    Burn(BurnArguments),
}

#[derive(Debug, Options)]
pub(crate) struct EntryArguments {
    help: bool,
    #[options(required, meta = "FILE", help = "the settings")]
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
        help = "the id of the request, then log files; without any, standard input"
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
    #[options(help = "check a text without sending it")]
    Check(FileArguments),
    #[options(help = "print the text in force")]
    Get(AskArguments),
    #[options(help = "replace the text, if it still has a version")]
    Put(PutArguments),
    #[options(help = "compare a file with the text in force")]
    Diff(DiffArguments),
    #[options(help = "print an earlier version")]
    Log(LogArguments),
}

#[derive(Debug, Options)]
pub(crate) struct FileArguments {
    help: bool,
    #[options(free, required, help = "the file")]
    pub(crate) file: PathBuf,
}

#[derive(Debug, Options)]
pub(crate) struct AskArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operators' address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(help = "print JSON")]
    pub(crate) json: bool,
}

#[derive(Debug, Options)]
pub(crate) struct PutArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operators' address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(required, help = "the version that the change rests on; 0 for the first text")]
    pub(crate) base: u64,
    #[options(default = "unnamed", help = "who changes it")]
    pub(crate) by: String,
    #[options(free, required, help = "the file")]
    pub(crate) file: PathBuf,
}

#[derive(Debug, Options)]
pub(crate) struct DiffArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operators' address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(free, required, help = "the file")]
    pub(crate) file: PathBuf,
}

#[derive(Debug, Options)]
pub(crate) struct LogArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operators' address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(free, required, help = "the version")]
    pub(crate) version: u64,
}

#[derive(Debug, Options)]
pub(crate) struct WhyArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operators' address of an entry")]
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
    #[options(required, meta = "IP:PORT", help = "the operators' address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(help = "print JSON")]
    pub(crate) json: bool,
    #[options(default = "40", help = "the records to show")]
    pub(crate) limit: usize,
    #[options(help = "only records of the last so many seconds")]
    pub(crate) since: Option<u64>,
    #[options(no_short, help = "only records about this service")]
    pub(crate) service: Option<String>,
}

#[derive(Debug, Options)]
pub(crate) struct DrainArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operators' address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(no_short, help = "give the target work again")]
    pub(crate) undo: bool,
    #[options(default = "unnamed", help = "who asks")]
    pub(crate) by: String,
    #[options(free, required, help = "the target")]
    pub(crate) vm: String,
}

#[derive(Debug, Options)]
pub(crate) struct VouchArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operators' address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(default = "unnamed", help = "who vouches")]
    pub(crate) by: String,
    #[options(no_short, required, help = "the name of the VM once more, as confirmation")]
    pub(crate) confirm: String,
    #[options(free, required, help = "the VM whose processes have ended for good")]
    pub(crate) vm: String,
}

#[derive(Debug, Options)]
pub(crate) struct BurnArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "the operators' address of an entry")]
    pub(crate) at: Option<SocketAddr>,
    #[options(help = "print JSON")]
    pub(crate) json: bool,
    #[options(no_short, meta = "FILE", help = "write a page with plots")]
    pub(crate) html: Option<PathBuf>,
}
