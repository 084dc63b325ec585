//! A command line that runs the stand-ins as processes, generates load and checks journals.

use {
    bytes::Bytes,
    conf::services::Fencing,
    gumdrop::Options,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    key::{Incarnation, Vm},
    rand::Rng,
    smol_str::SmolStr,
    standin::{
        check,
        holder::{self, Holder},
        journal::{self, Journal},
        load,
        platform::Platform,
        proxy::Proxy,
        rows::RowStore,
        target::{self, Target},
    },
    std::{
        error::Error,
        net::SocketAddr,
        path::PathBuf,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::net::TcpListener,
};

/// Runs stand-ins for the platform and the targets, for tests and demonstrations.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run the table, the object store and the list of VMs")]
    Platform(PlatformArguments),
    #[options(help = "run one target")]
    Target(TargetArguments),
    #[options(help = "run the store of the users' platform")]
    Rows(PlatformArguments),
    #[options(help = "run one target of the users' platform")]
    Holder(HolderArguments),
    #[options(help = "forward TCP connections and inject faults")]
    Proxy(ProxyArguments),
    #[options(help = "send requests at a fixed rate and print the latencies")]
    Load(LoadArguments),
    #[options(help = "check the journals in a folder for violated guarantees")]
    Check(CheckArguments),
    #[options(help = "send one request and print the response")]
    Request(RequestArguments),
}

#[derive(Debug, Options)]
struct PlatformArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "where to listen")]
    listen: Option<SocketAddr>,
    #[options(meta = "FILE", help = "where to write the journal")]
    journal: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct TargetArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "where to listen")]
    listen: Option<SocketAddr>,
    #[options(meta = "FILE", help = "where to write the journal")]
    journal: Option<PathBuf>,
    #[options(required, help = "the name of the VM")]
    vm: String,
    #[options(required, help = "the service it runs")]
    service: String,
    #[options(no_short, help = "own keys under leases")]
    keyed: bool,
    #[options(no_short, help = "observe the lease's deadline but check no fencing tokens")]
    unfenced: bool,
    #[options(no_short, default = "2", help = "requests worked on at once")]
    slots: usize,
    #[options(no_short, default = "64", help = "requests that may wait")]
    queue: usize,
    #[options(no_short, default = "130", help = "connections accepted")]
    connections: usize,
    #[options(no_short, default = "1", help = "milliseconds of work of a request")]
    work_ms: u64,
    #[options(no_short, default = "0", help = "milliseconds by which its clock is ahead")]
    clock_offset_ms: u64,
}

#[derive(Debug, Options)]
struct HolderArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "where to listen")]
    listen: Option<SocketAddr>,
    #[options(required, meta = "IP:PORT", help = "the address of the store")]
    store: Option<SocketAddr>,
    #[options(meta = "FILE", help = "where to write the journal")]
    journal: Option<PathBuf>,
    #[options(required, help = "the name of the target")]
    vm: String,
    #[options(required, help = "the service it runs")]
    service: String,
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "the address to register, by default the one to listen on"
    )]
    address: Option<SocketAddr>,
    #[options(no_short, default = "a", help = "its availability zone")]
    zone: String,
    #[options(no_short, help = "run only requests for keys that it holds")]
    keyed: bool,
    #[options(no_short, default = "2", help = "requests worked on at once")]
    slots: usize,
    #[options(no_short, default = "8", help = "requests that may wait")]
    queue: usize,
    #[options(no_short, default = "5", help = "milliseconds of work of a request")]
    work_ms: u64,
    #[options(no_short, default = "0", help = "milliseconds after the start while it is cold")]
    cold_ms: u64,
}

#[derive(Debug, Options)]
struct ProxyArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "where to listen")]
    listen: Option<SocketAddr>,
    #[options(required, meta = "IP:PORT", help = "where to connect")]
    to: Option<SocketAddr>,
    #[options(required, meta = "IP:PORT", help = "where to accept faults")]
    admin: Option<SocketAddr>,
}

#[derive(Debug, Options)]
struct LoadArguments {
    help: bool,
    #[options(required, meta = "IP:PORT", help = "where to send requests, may be repeated")]
    to: Vec<SocketAddr>,
    #[options(default = "500", help = "requests per second")]
    rate: f64,
    #[options(default = "5", help = "how many seconds to send requests")]
    seconds: u64,
    #[options(required, help = "the path, with {} for the key")]
    path: String,
    #[options(default = "1000", help = "number of keys to use in turn")]
    keys: u64,
    #[options(meta = "NAME=VALUE", help = "a header of each request, may be repeated")]
    header: Vec<String>,
}

#[derive(Debug, Options)]
struct CheckArguments {
    help: bool,
    #[options(free, required, help = "the folder of the journals")]
    folder: PathBuf,
}

#[derive(Debug, Options)]
struct RequestArguments {
    help: bool,
    #[options(default = "GET", help = "the method")]
    method: String,
    #[options(default = "", help = "the body")]
    body: String,
    #[options(meta = "NAME=VALUE", help = "a header, may be repeated")]
    header: Vec<String>,
    #[options(no_short, help = "seconds to retry for until the status is 200")]
    wait: Option<u64>,
    #[options(no_short, help = "print only the status and the headers named x-")]
    brief: bool,
    #[options(free, required, help = "the URL")]
    url: String,
}

/// An error in the arguments of a command.
#[derive(Debug, thiserror::Error)]
enum ArgumentError {
    #[error("a required address is missing")]
    MissingAddress,
    #[error("a header must have the form NAME=VALUE")]
    InvalidHeader,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    match arguments.command {
        Some(Command::Platform(arguments)) => runtime.block_on(platform(arguments)),
        Some(Command::Target(arguments)) => runtime.block_on(target(arguments)),
        Some(Command::Rows(arguments)) => runtime.block_on(rows(arguments)),
        Some(Command::Holder(arguments)) => runtime.block_on(holder(arguments)),
        Some(Command::Proxy(arguments)) => runtime.block_on(proxy(arguments)),
        Some(Command::Load(arguments)) => {
            runtime.block_on(load(arguments));
            Ok(())
        }
        Some(Command::Check(arguments)) => check(&arguments),
        Some(Command::Request(arguments)) => runtime.block_on(request(&arguments)),
        None => {
            eprintln!("{}", Arguments::usage());
            std::process::exit(2);
        }
    }
}

async fn bind(address: Option<SocketAddr>) -> Result<TcpListener, Box<dyn Error>> {
    let address = address.ok_or(ArgumentError::MissingAddress)?;
    Ok(TcpListener::bind(address).await?)
}

async fn platform(arguments: PlatformArguments) -> Result<(), Box<dyn Error>> {
    let incarnation = Incarnation::from(rand::rng().random::<u64>());
    let journal = Journal::open(arguments.journal.as_deref(), Vm::from("platform"), incarnation)?;
    Platform::new(journal).serve(bind(arguments.listen).await?).await;
    Ok(())
}

async fn target(arguments: TargetArguments) -> Result<(), Box<dyn Error>> {
    let incarnation = Incarnation::from(rand::rng().random::<u64>());
    let vm = Vm::from(arguments.vm.as_str());
    let listener = bind(arguments.listen).await?;
    let journal = Journal::open(arguments.journal.as_deref(), vm.clone(), incarnation)?;
    let config = target::Config {
        vm,
        service: SmolStr::from(arguments.service),
        keyed: arguments.keyed,
        fencing: if arguments.unfenced { Fencing::Lease } else { Fencing::Full },
        slots: arguments.slots,
        queue: arguments.queue,
        connections: arguments.connections,
        work_ms: arguments.work_ms,
        clock_offset_ms: arguments.clock_offset_ms,
    };
    Target::new(config, incarnation, journal).serve(listener).await;
    Ok(())
}

async fn rows(arguments: PlatformArguments) -> Result<(), Box<dyn Error>> {
    RowStore::new().serve(bind(arguments.listen).await?).await;
    Ok(())
}

async fn holder(arguments: HolderArguments) -> Result<(), Box<dyn Error>> {
    let incarnation = Incarnation::from(rand::rng().random::<u64>());
    let vm = Vm::from(arguments.vm.as_str());
    let listener = bind(arguments.listen).await?;
    let journal = Journal::open(arguments.journal.as_deref(), vm.clone(), incarnation)?;
    let config = holder::Config {
        vm,
        service: arguments.service,
        zone: arguments.zone,
        address: arguments.address.map_or_else(|| listener.local_addr(), Ok)?,
        store: arguments.store.ok_or(ArgumentError::MissingAddress)?,
        keyed: arguments.keyed,
        slots: arguments.slots,
        queue: arguments.queue,
        work_ms: arguments.work_ms,
        cold_ms: arguments.cold_ms,
    };
    Holder::new(config, journal).serve(listener).await;
    Ok(())
}

async fn proxy(arguments: ProxyArguments) -> Result<(), Box<dyn Error>> {
    let listener = bind(arguments.listen).await?;
    let admin = bind(arguments.admin).await?;
    let to = arguments.to.ok_or(ArgumentError::MissingAddress)?;
    Arc::new(Proxy::default()).serve(listener, to, admin).await;
    Ok(())
}

async fn load(arguments: LoadArguments) {
    let pairs = arguments.header.iter().filter_map(|header| header.split_once('='));
    let config = load::Config {
        addresses: arguments.to,
        rate: arguments.rate,
        duration: Duration::from_secs(arguments.seconds),
        path: arguments.path,
        key_count: arguments.keys.max(1),
        headers: pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
    };
    let report = load::run(&config).await;
    let latencies_us = &report.latencies_us;
    println!("requests {} statuses {:?}", latencies_us.len(), report.statuses);
    for quantile in [0.5, 0.9, 0.99, 0.999] {
        println!("p{} {} us", quantile * 100.0, latencies_us.value_at_quantile(quantile));
    }
}

fn check(arguments: &CheckArguments) -> Result<(), Box<dyn Error>> {
    let lines = journal::read_all(&arguments.folder)?;
    let shard_overlaps = check::shard_overlaps(&lines);
    let unowned_runs = check::unowned_runs(&lines);
    let key_overlaps = check::key_overlaps(&lines);
    let repeated = check::run_counts(&lines).into_values().filter(|runs| *runs > 1).count();
    println!(
        "{} lines: {} overlaps of ownership, {} runs without ownership, {repeated} ids run twice",
        lines.len(),
        shard_overlaps.len() + key_overlaps.len(),
        unowned_runs.len(),
    );
    for overlap in shard_overlaps.iter().take(5) {
        println!("{overlap:?}");
    }
    for overlap in key_overlaps.iter().take(5) {
        println!("{overlap:?}");
    }
    if shard_overlaps.is_empty()
        && key_overlaps.is_empty()
        && unowned_runs.is_empty()
        && repeated == 0
    {
        Ok(())
    } else {
        std::process::exit(1)
    }
}

/// The time between two attempts of a request that is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

async fn request(arguments: &RequestArguments) -> Result<(), Box<dyn Error>> {
    let deadline = Instant::now() + Duration::from_secs(arguments.wait.unwrap_or_default());
    loop {
        let result = send(arguments).await;
        let is_ok = result.as_ref().is_ok_and(|response| response.status() == StatusCode::OK);
        if is_ok || Instant::now() >= deadline {
            return print(&result?, arguments.brief);
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn send(arguments: &RequestArguments) -> Result<Response<Bytes>, Box<dyn Error>> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut builder = Request::builder().method(arguments.method.as_str()).uri(&arguments.url);
    for header in &arguments.header {
        let (name, value) = header.split_once('=').ok_or(ArgumentError::InvalidHeader)?;
        builder = builder.header(name, value);
    }
    let request = builder.body(Full::new(Bytes::from(arguments.body.clone())))?;
    let (parts, body) = client.request(request).await?.into_parts();
    Ok(Response::from_parts(parts, body.collect().await?.to_bytes()))
}

fn print(response: &Response<Bytes>, brief: bool) -> Result<(), Box<dyn Error>> {
    let mut line = response.status().as_u16().to_string();
    for (name, value) in response.headers() {
        if name.as_str().starts_with("x-") {
            line.push_str(&format!(" {name}={}", value.to_str()?));
        }
    }
    println!("{line}");
    if !brief {
        println!("{}", String::from_utf8_lossy(response.body()));
    }
    Ok(())
}
