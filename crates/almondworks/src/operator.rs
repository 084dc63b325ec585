//! The commands that ask an entry.

use {
    crate::{
        arguments::{
            AskArguments, BurnArguments, ConfigCommand, DiffArguments, DrainArguments,
            HistoryArguments, LogArguments, PutArguments, VouchArguments, WhyArguments,
        },
        error::Error,
        exit, show,
    },
    entry::{Answer, ChangeError, ConfigChange, ConfigText, KeyStatus, Status},
    http::Method,
    key::Vm,
    percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode},
    report::{Record, burn::Line, log::wall_clock_ms},
    serde::{Serialize, de::DeserializeOwned},
    std::{fs, net::SocketAddr, path::Path, process::ExitCode, time::Duration},
    tokio::runtime::Builder,
};

const TIMEOUT: Duration = Duration::from_secs(15);
const MILLIS_PER_SECOND: u64 = 1_000;
const NOT_FOUND: u16 = 404;

fn send<T: DeserializeOwned>(
    method: Method,
    at: Option<SocketAddr>,
    path: &str,
    body: Vec<u8>,
) -> Result<T, Error> {
    let at = at.ok_or(Error::NoAddress)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let client = wire::Config::default().timeout(TIMEOUT).build();
    let sent = runtime.block_on(client.send(method, at, path, body.into()));
    let bytes = sent.map_err(|error| match error.kind() {
        wire::ErrorKind::Status(NOT_FOUND) => Error::Unknown,
        wire::ErrorKind::Status(_) => match serde_json::from_str::<ChangeError>(error.detail()) {
            Ok(conflict) => Error::Conflict(Box::new(conflict)),
            Err(_) => Error::Wire(error),
        },
        _ => Error::Wire(error),
    })?;
    Ok(serde_json::from_slice(&bytes)?)
}

fn get<T: DeserializeOwned>(at: Option<SocketAddr>, path: &str) -> Result<T, Error> {
    send(Method::GET, at, path, Vec::new())
}

fn encode(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}

fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Says which entries were not reached, and returns the exit code for it.
fn finish(unreached: &[Vm]) -> ExitCode {
    if unreached.is_empty() {
        return ExitCode::SUCCESS;
    }
    let names: Vec<&str> = unreached.iter().map(Vm::as_str).collect();
    eprintln!("not reached, so not part of this answer: {}", names.join(", "));
    ExitCode::from(exit::PARTIAL)
}

pub(crate) fn config(command: ConfigCommand) -> Result<ExitCode, Error> {
    match command {
        ConfigCommand::Get(arguments) => get_config(&arguments),
        ConfigCommand::Put(arguments) => put(&arguments),
        ConfigCommand::Diff(arguments) => diff(&arguments),
        ConfigCommand::Log(arguments) => log(&arguments),
        ConfigCommand::Check(arguments) => crate::check(&arguments.file),
    }
}

fn get_config(arguments: &AskArguments) -> Result<ExitCode, Error> {
    let text: ConfigText = get(arguments.at, "/config")?;
    if arguments.json {
        print_json(&text);
    } else {
        eprintln!("version {} by {} at {}", text.version, text.by, show::time(text.at_ms));
        println!("{}", text.text);
    }
    Ok(ExitCode::SUCCESS)
}

fn put(arguments: &PutArguments) -> Result<ExitCode, Error> {
    let text = read(&arguments.file)?;
    conf::OperatorConfig::parse(&text)
        .map_err(|error| Error::Text { file: arguments.file.clone(), error })?;
    let path = format!("/config?base={}&by={}", arguments.base, encode(&arguments.by));
    let change: ConfigChange = send(Method::POST, arguments.at, &path, text.into_bytes())?;
    println!("accepted as version {}", change.version);
    Ok(ExitCode::SUCCESS)
}

fn diff(arguments: &DiffArguments) -> Result<ExitCode, Error> {
    let current: ConfigText = get(arguments.at, "/config")?;
    let file = read(&arguments.file)?;
    println!("--- version {} by {}", current.version, current.by);
    println!("+++ {}", arguments.file.display());
    print!("{}", show::difference(&current.text, &file));
    Ok(ExitCode::SUCCESS)
}

fn log(arguments: &LogArguments) -> Result<ExitCode, Error> {
    let path = format!("/config/log?version={}", arguments.version);
    let text: ConfigText = get(arguments.at, &path)?;
    eprintln!("version {} by {} at {}", text.version, text.by, show::time(text.at_ms));
    println!("{}", text.text);
    Ok(ExitCode::SUCCESS)
}

fn read(file: &Path) -> Result<String, Error> {
    fs::read_to_string(file).map_err(|error| Error::File { file: file.to_owned(), error })
}

pub(crate) fn status(arguments: &AskArguments) -> Result<ExitCode, Error> {
    let status: Status = get(arguments.at, "/status")?;
    if arguments.json {
        print_json(&status);
    } else {
        print!("{}", show::status(&status));
    }
    Ok(ExitCode::SUCCESS)
}

pub(crate) fn why(arguments: &WhyArguments) -> Result<ExitCode, Error> {
    let (service, key) = (encode(&arguments.service), encode(&arguments.key));
    let path = format!("/why?service={service}&key={key}");
    let answer: Answer<KeyStatus> = get(arguments.at, &path)?;
    if arguments.json {
        print_json(&answer);
    } else {
        print!("{}", show::why(&answer.result));
    }
    Ok(finish(&answer.unreached))
}

pub(crate) fn history(arguments: &HistoryArguments) -> Result<ExitCode, Error> {
    let path = format!("/history?limit={}", arguments.limit);
    let mut answer: Answer<Vec<Record>> = get(arguments.at, &path)?;
    if let Some(seconds) = arguments.since {
        let from = wall_clock_ms().saturating_sub(seconds * MILLIS_PER_SECOND);
        answer.result.retain(|record| record.at_ms >= from);
    }
    if let Some(service) = &arguments.service {
        answer.result.retain(|record| show::mentions(record, service));
    }
    if arguments.json {
        print_json(&answer);
    } else {
        print!("{}", show::history(&answer.result));
    }
    Ok(finish(&answer.unreached))
}

pub(crate) fn drain(arguments: &DrainArguments) -> Result<ExitCode, Error> {
    let on = !arguments.undo;
    let (vm, by) = (encode(&arguments.vm), encode(&arguments.by));
    let path = format!("/drain?vm={vm}&on={on}&by={by}");
    let (): () = send(Method::POST, arguments.at, &path, Vec::new())?;
    println!("{} {}", arguments.vm, if on { "will be emptied" } else { "takes work again" });
    Ok(ExitCode::SUCCESS)
}

pub(crate) fn vouch(arguments: &VouchArguments) -> Result<ExitCode, Error> {
    if arguments.confirm != arguments.vm {
        return Err(Error::Unconfirmed);
    }
    let (vm, by) = (encode(&arguments.vm), encode(&arguments.by));
    let path = format!("/vouch?vm={vm}&by={by}");
    let (): () = send(Method::POST, arguments.at, &path, Vec::new())?;
    println!("on record: everything on {} has ended", arguments.vm);
    Ok(ExitCode::SUCCESS)
}

pub(crate) fn burn(arguments: &BurnArguments) -> Result<ExitCode, Error> {
    let answer: Answer<Vec<Line>> = get(arguments.at, "/burn")?;
    if let Some(file) = &arguments.html {
        let unreached: Vec<String> = answer.unreached.iter().map(Vm::to_string).collect();
        let page = report::page("Service-level burn", &answer.result, &unreached);
        fs::write(file, page).map_err(|error| Error::File { file: file.clone(), error })?;
    }
    if arguments.json {
        print_json(&answer);
    } else {
        print!("{}", show::burn(&answer.result));
    }
    Ok(finish(&answer.unreached))
}
