//! The command line: runs an entry, and queries or changes running ones.

mod arguments;
mod error;
mod explain;
mod operator;
mod show;
mod table;

use {
    crate::{
        arguments::{Arguments, Command, ConfigCommand},
        error::Error,
    },
    conf::{OperatorConfig, PlatformSettings, Settings, settings::LogLevel},
    gumdrop::Options,
    simplelog::{ConfigBuilder, LevelFilter, WriteLogger},
    std::{
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// The exit codes, which docs/OPERATIONS.md documents.
mod exit {
    /// The platform, an entry or the operating system failed to carry out the command.
    pub(crate) const FAILED: u8 = 1;
    /// The arguments, the settings or the operators' configuration are invalid.
    pub(crate) const INVALID: u8 = 2;
    /// Another change was accepted first.
    pub(crate) const CONFLICT: u8 = 3;
    /// Some entries could not be reached, so the result may be incomplete.
    pub(crate) const PARTIAL: u8 = 4;
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("almondworks {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("{}\n\n{}", Arguments::usage(), Arguments::command_list().unwrap_or_default());
        return ExitCode::from(exit::INVALID);
    };
    match run(command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("almondworks: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(command: Command) -> Result<ExitCode, Error> {
    match command {
        Command::Entry(arguments) => run_entry(arguments.settings),
        Command::Config(arguments) => match arguments.command {
            Some(ConfigCommand::Check(check)) => self::check_config(&check.file),
            Some(other) => operator::config(other),
            None => Err(Error::NoConfigCommand),
        },
        Command::Status(arguments) => operator::status(&arguments),
        Command::Why(arguments) => operator::why(&arguments),
        Command::History(arguments) => operator::history(&arguments),
        Command::Drain(arguments) => operator::drain(&arguments),
        Command::Vouch(arguments) => operator::vouch(&arguments),
        Command::Explain(arguments) => explain::run(&arguments),
        Command::Burn(arguments) => operator::burn(&arguments),
    }
}

/// Runs an entry for the users' platform or with the router's own conventions, depending on the
/// form of the settings.
fn run_entry(file: PathBuf) -> Result<ExitCode, Error> {
    let text =
        fs::read_to_string(&file).map_err(|error| Error::File { file: file.clone(), error })?;
    let invalid = |error| Error::Config { file: file.clone(), error };
    if PlatformSettings::has_platform_form(&text).map_err(invalid)? {
        let settings = PlatformSettings::parse(&text).map_err(invalid)?;
        edge::run(settings, file)?;
    } else {
        let settings = Settings::parse(&text).map_err(invalid)?;
        log_to_stderr(settings.log_level)?;
        entry::run(settings)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Parses an operators' configuration without sending it.
fn check_config(file: &Path) -> Result<ExitCode, Error> {
    let text =
        fs::read_to_string(file).map_err(|error| Error::File { file: file.to_owned(), error })?;
    let config = OperatorConfig::parse(&text)
        .map_err(|error| Error::Config { file: file.to_owned(), error })?;
    println!("{}: {} services, no error", file.display(), config.services.len());
    Ok(ExitCode::SUCCESS)
}

fn log_to_stderr(level: LogLevel) -> Result<(), Error> {
    let filter = match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_ignore_str("tarpc")
        .add_filter_ignore_str("hyper")
        .build();
    WriteLogger::init(filter, config, std::io::stderr()).map_err(|_| Error::Logger)
}
