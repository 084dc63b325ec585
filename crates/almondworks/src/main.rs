//! The command line.

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

/// The exit codes, as docs/OPERATIONS.md lists them.
mod exit {
    /// The platform, an entry or the system did not do what was asked.
    pub(crate) const FAILED: u8 = 1;
    /// The arguments, the settings or the operators' text are wrong.
    pub(crate) const INVALID: u8 = 2;
    /// Another change came first.
    pub(crate) const CONFLICT: u8 = 3;
    /// Some entries could not be reached, so the answer may lack something.
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
            Some(ConfigCommand::Check(check)) => self::check(&check.file),
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

/// Runs an entry by the settings' form: on the users' platform, or with the product's own
/// conventions.
fn run_entry(file: PathBuf) -> Result<ExitCode, Error> {
    let text =
        fs::read_to_string(&file).map_err(|error| Error::File { file: file.clone(), error })?;
    let wrong = |error| Error::Text { file: file.clone(), error };
    if PlatformSettings::has_platform_form(&text).map_err(wrong)? {
        let settings = PlatformSettings::parse(&text).map_err(wrong)?;
        edge::run(settings, file)?;
    } else {
        let settings = Settings::parse(&text).map_err(wrong)?;
        log_to_stderr(settings.log_level)?;
        entry::run(settings)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn check(file: &Path) -> Result<ExitCode, Error> {
    let text =
        fs::read_to_string(file).map_err(|error| Error::File { file: file.to_owned(), error })?;
    let parsed = OperatorConfig::parse(&text)
        .map_err(|error| Error::Text { file: file.to_owned(), error })?;
    println!("{}: {} services, no error", file.display(), parsed.services.len());
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
    WriteLogger::init(filter, config, std::io::stderr()).map_err(|_| Error::Log)
}
