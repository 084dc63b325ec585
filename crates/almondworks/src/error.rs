//! Why a command failed.

use {
    crate::exit,
    entry::{ChangeError, Error as EntryError},
    std::{io, path::PathBuf},
    thiserror::Error as Derive,
};

/// A failed command.
#[derive(Debug, Derive)]
pub(crate) enum Error {
    #[error("--at IP:PORT is missing")]
    NoAddress,
    #[error("explain needs the id of a request")]
    NoId,
    #[error("config needs one of check, get, put, diff, log")]
    NoConfigCommand,
    #[error("--confirm must repeat the name of the VM; nothing was sent")]
    Unconfirmed,
    #[error("the entry's answer cannot be read: {0}")]
    Answer(#[from] serde_json::Error),
    #[error("{}: {error}", file.display())]
    Text { file: PathBuf, error: conf::Error },
    #[error("{}: {error}", file.display())]
    File { file: PathBuf, error: io::Error },
    #[error(transparent)]
    Entry(#[from] EntryError),
    #[error(transparent)]
    Edge(#[from] edge::Error),
    #[error("{0}")]
    Wire(#[from] wire::Error),
    #[error("the entry knows no such service, key or version")]
    Unknown,
    #[error("{}", conflict(.0))]
    Conflict(Box<ChangeError>),
    #[error("cannot start: {0}")]
    System(#[from] io::Error),
    #[error("the log is already set up")]
    Log,
}

impl Error {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::NoAddress
            | Self::NoId
            | Self::NoConfigCommand
            | Self::Unconfirmed
            | Self::Text { .. }
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

fn conflict(conflict: &ChangeError) -> String {
    match conflict {
        ChangeError::Version(text) => format!(
            "not accepted: version {} by `{}` came first; see `almondworks config diff`",
            text.version, text.by,
        ),
        ChangeError::Invalid { problem, line, column } => match (line, column) {
            (Some(line), Some(column)) => {
                format!("not accepted: line {line}, column {column}: {problem}")
            }
            _ => format!("not accepted: {problem}"),
        },
        ChangeError::Unknown => {
            "the platform gave no answer; look with `almondworks config get` whether the text was \
             accepted before trying again"
                .to_owned()
        }
        ChangeError::Refused => "not accepted: the platform does not take writes now".to_owned(),
    }
}
