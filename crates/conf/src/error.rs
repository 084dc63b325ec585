//! Errors in settings and in the operators' configuration, with their position in the file.

use std::fmt;

/// A position in a file; line and column count from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line number.
    pub line: usize,
    /// The column number, in characters.
    pub column: usize,
}

/// The cause of an [`Error`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The file cannot be read.
    Unreadable(String),
    /// The text is not JSON with comments, or a value has the wrong type or is out of range.
    Invalid(String),
    /// A name or address that must be unique occurs more than once.
    Duplicate(String),
    /// A service depends on one that the configuration does not define.
    UnknownDependency(String),
    /// The dependencies of services form a cycle.
    CircularDependency(String),
    /// A value is in its range but breaks a rule, such as one that relates it to another value.
    Contradiction(String),
}

/// An error in a settings file or in the operators' configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    position: Option<Position>,
}

impl Error {
    pub(crate) const fn new(kind: ErrorKind, position: Option<Position>) -> Self {
        Self { kind, position }
    }

    /// Returns the cause of the error.
    #[must_use]
    pub const fn kind(&self) -> &ErrorKind {
        &self.kind
    }

    /// Returns the position of the offending value, if it is known.
    #[must_use]
    pub const fn position(&self) -> Option<Position> {
        self.position
    }
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(Position { line, column }) = self.position {
            write!(out, "line {line}, column {column}: ")?;
        }
        write!(out, "{}", self.kind)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(detail) => write!(out, "cannot read the file: {detail}"),
            Self::Invalid(detail) => write!(out, "{detail}"),
            Self::Duplicate(name) => {
                write!(out, "`{name}` occurs more than once, but must be unique")
            }
            Self::UnknownDependency(name) => {
                write!(out, "unknown dependency `{name}`: no service of that name is defined")
            }
            Self::CircularDependency(name) => {
                write!(
                    out,
                    "circular dependency: `{name}` depends on itself, directly or indirectly"
                )
            }
            Self::Contradiction(detail) => write!(out, "{detail}"),
        }
    }
}

impl std::error::Error for Error {}
