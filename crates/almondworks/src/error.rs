//! Errors of commands, and their exit codes.

use {
    crate::exit,
    entry::{ChangeError, Error as EntryError},
    std::{io, path::PathBuf},
    thiserror::Error as Derive,
};

/// An error of a command.
#[derive(Debug, Derive)]
pub(crate) enum Error {
    #[error("--at IP:PORT is missing")]
    NoAddress,
    #[error("explain requires the id of a request")]
    NoId,
    #[error("config requires one of the commands check, get, put, diff, log")]
    NoConfigCommand,
    #[error("--confirm does not match the name of the VM; nothing was sent")]
    Unconfirmed,
    #[error("cannot parse the entry's response: {0}")]
    Response(#[from] serde_json::Error),
    #[error("{}: {error}", file.display())]
    Config { file: PathBuf, error: conf::Error },
    #[error("{}: {error}", file.display())]
    File { file: PathBuf, error: io::Error },
    #[error(transparent)]
    Entry(#[from] EntryError),
    #[error(transparent)]
    Edge(#[from] edge::Error),
    #[error("{0}")]
    Wire(#[from] wire::Error),
    #[error("the entry does not know this service, key or version")]
    NotFound,
    #[error("{}", describe_conflict(.0))]
    Conflict(Box<ChangeError>),
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    #[error("cannot set up the log: a logger is already installed")]
    Logger,
}

impl Error {
    /// Returns the exit code of the process for this error.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::NoAddress
            | Self::NoId
            | Self::NoConfigCommand
            | Self::Unconfirmed
            | Self::Config { .. }
            | Self::Edge(edge::Error::Listen { .. })
            | Self::File { .. } => exit::INVALID,
            Self::Conflict(conflict) => match **conflict {
                ChangeError::Version(_) => exit::CONFLICT,
                ChangeError::Invalid { .. } => exit::INVALID,
                _ => exit::FAILED,
            },
            _ => exit::FAILED,
        }
    }
}

fn describe_conflict(conflict: &ChangeError) -> String {
    match conflict {
        ChangeError::Version(current) => format!(
            "change rejected: version {} by `{}` was accepted first; see `almondworks config diff`",
            current.version, current.by,
        ),
        ChangeError::Invalid { problem, line, column } => match (line, column) {
            (Some(line), Some(column)) => {
                format!("change rejected: line {line}, column {column}: {problem}")
            }
            _ => format!("change rejected: {problem}"),
        },
        ChangeError::Unknown => {
            "the platform did not answer, so the change may have been accepted; check with \
             `almondworks config get` before trying again"
                .to_owned()
        }
        ChangeError::Refused => {
            "change rejected: the platform does not accept writes now".to_owned()
        }
    }
}
