//! The commands that query or change a running entry, over its operator address.

use {
    crate::{
        arguments::{
            BurnArguments, ConfigCommand, DiffArguments, DrainArguments, HistoryArguments,
            LogArguments, PutArguments, QueryArguments, VouchArguments, WhyArguments,
        },
        error::Error,
        exit, show,
    },
    entry::{Answer, ChangeError, ConfigChange, ConfigText, KeyStatus, Status},
    http::Method,
    key::Vm,
    percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode},
    report::{Record, burn::ServiceBurn, log::wall_clock_ms},
    serde::{Serialize, de::DeserializeOwned},
    std::{fs, net::SocketAddr, path::Path, process::ExitCode, time::Duration},
    tokio::runtime::Builder,
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
const MILLIS_PER_SECOND: u64 = 1_000;
const NOT_FOUND_STATUS: u16 = 404;

/// Sends a request to the operator address of an entry and parses the response.
fn send<T: DeserializeOwned>(
    method: Method,
    entry: Option<SocketAddr>,
    path: &str,
    body: Vec<u8>,
) -> Result<T, Error> {
    let entry = entry.ok_or(Error::NoAddress)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let client = wire::Config::default().timeout(REQUEST_TIMEOUT).build();
    let response = runtime.block_on(client.send(method, entry, path, body.into()));
    let bytes = response.map_err(|error| match error.kind() {
        wire::ErrorKind::Status(NOT_FOUND_STATUS) => Error::NotFound,
        wire::ErrorKind::Status(_) => match serde_json::from_str::<ChangeError>(error.detail()) {
            Ok(conflict) => Error::Conflict(Box::new(conflict)),
            Err(_) => Error::Wire(error),
        },
        _ => Error::Wire(error),
    })?;
    Ok(serde_json::from_slice(&bytes)?)
}

fn get<T: DeserializeOwned>(entry: Option<SocketAddr>, path: &str) -> Result<T, Error> {
    send(Method::GET, entry, path, Vec::new())
}

fn percent_encode(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}

fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Prints the entries that were not reached to standard error, and returns the exit code.
fn report_unreached(unreached: &[Vm]) -> ExitCode {
    if unreached.is_empty() {
        return ExitCode::SUCCESS;
    }
    let names: Vec<&str> = unreached.iter().map(Vm::as_str).collect();
    eprintln!("incomplete result, entries not reached: {}", names.join(", "));
    ExitCode::from(exit::PARTIAL)
}

pub(crate) fn config(command: ConfigCommand) -> Result<ExitCode, Error> {
    match command {
        ConfigCommand::Get(arguments) => get_config(&arguments),
        ConfigCommand::Put(arguments) => put_config(&arguments),
        ConfigCommand::Diff(arguments) => diff_config(&arguments),
        ConfigCommand::Log(arguments) => print_logged_config(&arguments),
        ConfigCommand::Check(arguments) => crate::check_config(&arguments.file),
    }
}

fn get_config(arguments: &QueryArguments) -> Result<ExitCode, Error> {
    let text: ConfigText = get(arguments.at, "/config")?;
    if arguments.json {
        print_json(&text);
    } else {
        eprintln!("version {} by {} at {}", text.version, text.by, show::time(text.at_ms));
        println!("{}", text.text);
    }
    Ok(ExitCode::SUCCESS)
}

fn put_config(arguments: &PutArguments) -> Result<ExitCode, Error> {
    let text = read_file(&arguments.file)?;
    conf::OperatorConfig::parse(&text)
        .map_err(|error| Error::Config { file: arguments.file.clone(), error })?;
    let path = format!("/config?base={}&by={}", arguments.base, percent_encode(&arguments.by));
    let change: ConfigChange = send(Method::POST, arguments.at, &path, text.into_bytes())?;
    println!("accepted as version {}", change.version);
    Ok(ExitCode::SUCCESS)
}

fn diff_config(arguments: &DiffArguments) -> Result<ExitCode, Error> {
    let current: ConfigText = get(arguments.at, "/config")?;
    let proposed = read_file(&arguments.file)?;
    println!("--- version {} by {}", current.version, current.by);
    println!("+++ {}", arguments.file.display());
    print!("{}", show::line_diff(&current.text, &proposed));
    Ok(ExitCode::SUCCESS)
}

fn print_logged_config(arguments: &LogArguments) -> Result<ExitCode, Error> {
    let path = format!("/config/log?version={}", arguments.version);
    let text: ConfigText = get(arguments.at, &path)?;
    eprintln!("version {} by {} at {}", text.version, text.by, show::time(text.at_ms));
    println!("{}", text.text);
    Ok(ExitCode::SUCCESS)
}

fn read_file(file: &Path) -> Result<String, Error> {
    fs::read_to_string(file).map_err(|error| Error::File { file: file.to_owned(), error })
}

pub(crate) fn status(arguments: &QueryArguments) -> Result<ExitCode, Error> {
    let status: Status = get(arguments.at, "/status")?;
    if arguments.json {
        print_json(&status);
    } else {
        print!("{}", show::status(&status));
    }
    Ok(ExitCode::SUCCESS)
}

pub(crate) fn why(arguments: &WhyArguments) -> Result<ExitCode, Error> {
    let (service, key) = (percent_encode(&arguments.service), percent_encode(&arguments.key));
    let path = format!("/why?service={service}&key={key}");
    let answer: Answer<KeyStatus> = get(arguments.at, &path)?;
    if arguments.json {
        print_json(&answer);
    } else {
        print!("{}", show::why(&answer.result));
    }
    Ok(report_unreached(&answer.unreached))
}

pub(crate) fn history(arguments: &HistoryArguments) -> Result<ExitCode, Error> {
    let path = format!("/history?limit={}", arguments.limit);
    let mut answer: Answer<Vec<Record>> = get(arguments.at, &path)?;
    if let Some(seconds) = arguments.since {
        let oldest_ms = wall_clock_ms().saturating_sub(seconds * MILLIS_PER_SECOND);
        answer.result.retain(|record| record.at_ms >= oldest_ms);
    }
    if let Some(service) = &arguments.service {
        answer.result.retain(|record| show::mentions_service(record, service));
    }
    if arguments.json {
        print_json(&answer);
    } else {
        print!("{}", show::history(&answer.result));
    }
    Ok(report_unreached(&answer.unreached))
}

pub(crate) fn drain(arguments: &DrainArguments) -> Result<ExitCode, Error> {
    let on = !arguments.undo;
    let (vm, by) = (percent_encode(&arguments.vm), percent_encode(&arguments.by));
    let path = format!("/drain?vm={vm}&on={on}&by={by}");
    let (): () = send(Method::POST, arguments.at, &path, Vec::new())?;
    println!("{} {}", arguments.vm, if on { "will be emptied" } else { "takes work again" });
    Ok(ExitCode::SUCCESS)
}

pub(crate) fn vouch(arguments: &VouchArguments) -> Result<ExitCode, Error> {
    if arguments.confirm != arguments.vm {
        return Err(Error::Unconfirmed);
    }
    let (vm, by) = (percent_encode(&arguments.vm), percent_encode(&arguments.by));
    let path = format!("/vouch?vm={vm}&by={by}");
    let (): () = send(Method::POST, arguments.at, &path, Vec::new())?;
    println!("on record: everything on {} has ended", arguments.vm);
    Ok(ExitCode::SUCCESS)
}

pub(crate) fn burn(arguments: &BurnArguments) -> Result<ExitCode, Error> {
    let answer: Answer<Vec<ServiceBurn>> = get(arguments.at, "/burn")?;
    if let Some(file) = &arguments.html {
        let unreached: Vec<String> = answer.unreached.iter().map(Vm::to_string).collect();
        let page = report::burn_page("Service-level burn", &answer.result, &unreached);
        fs::write(file, page).map_err(|error| Error::File { file: file.clone(), error })?;
    }
    if arguments.json {
        print_json(&answer);
    } else {
        print!("{}", show::burn(&answer.result));
    }
    Ok(report_unreached(&answer.unreached))
}
