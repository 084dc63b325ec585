//! Errors with a place in the text.

use std::fmt;

/// A place in a text, both counted from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

/// What is wrong with a text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The file cannot be read.
    Unreadable(String),
    /// The text is no JSON with comments, or a value has the wrong type or range.
    Invalid(String),
    /// A name that must be unique stands twice.
    Duplicate(String),
    /// A service depends on one that the text does not list.
    UnknownDependency(String),
    /// Services depend on one another in a circle.
    CircularDependency(String),
    /// Two values contradict one another.
    Contradiction(String),
}

/// An error in a settings file or an operators' text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    position: Option<Position>,
}

impl Error {
    pub(crate) const fn new(kind: ErrorKind, position: Option<Position>) -> Self {
        Self { kind, position }
    }

    /// Returns what is wrong.
    #[must_use]
    pub const fn kind(&self) -> &ErrorKind {
        &self.kind
    }

    /// Returns where it is wrong, where a place is known.
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
            Self::Duplicate(name) => write!(out, "`{name}` stands twice, expected it once"),
            Self::UnknownDependency(name) => {
                write!(out, "`{name}` is not a service of this text, expected one that is")
            }
            Self::CircularDependency(name) => {
                write!(out, "`{name}` depends on itself through others, expected no circle")
            }
            Self::Contradiction(detail) => write!(out, "{detail}"),
        }
    }
}

impl std::error::Error for Error {}
