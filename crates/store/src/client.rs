//! The client of the platform's HTTP interface.

use {
    crate::{
        Error, ErrorKind,
        table::{Commit, CommitReply, Row, ScanReply, Transaction},
        vms::VmList,
    },
    http::Method,
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// The address of the platform and the options of a [`Client`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    address: SocketAddr,
    timeout: Duration,
    source: Option<IpAddr>,
}

impl Config {
    /// Returns the configuration of a client for the platform at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address, timeout: DEFAULT_TIMEOUT, source: None }
    }

    /// Sets the timeout of one request until the head of the response, and then for each further
    /// part of it: a scan is as large as the table.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the local address of connections; by default, the operating system chooses it.
    #[must_use]
    pub const fn source(mut self, source: Option<IpAddr>) -> Self {
        self.source = source;
        self
    }

    /// Builds the client.
    #[must_use]
    pub fn build(self) -> Client {
        Client {
            address: self.address,
            http: wire::Config::default()
                .timeout(self.timeout)
                .stall_timeout(Some(self.timeout))
                .source(self.source)
                .build(),
        }
    }
}

/// A client of the platform's table, object store and list of VMs.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    http: wire::Client,
}

impl Client {
    /// Commits a transaction; it is sent once and never retried.
    pub async fn commit(&self, transaction: &Transaction) -> Commit {
        match self.http.post(self.address, "/table/commit", transaction).await {
            Ok(CommitReply::Committed(versions)) => Commit::Committed(versions),
            Ok(CommitReply::Conflict(rows)) => Commit::Conflict(rows),
            Err(error) => match Error::from(error).kind() {
                ErrorKind::Refused => Commit::Refused,
                _ => Commit::Ambiguous,
            },
        }
    }

    /// Reads the rows whose name starts with `prefix` and that changed after revision `revision`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::WentBack`] if the table has not reached `revision`: its versions and
    /// fencing tokens would be given out again. Returns another kind if the platform sends no valid
    /// response.
    pub async fn scan(&self, prefix: &str, revision: u64) -> Result<ScanReply, Error> {
        let path = format!("/table/scan?prefix={prefix}&after={revision}");
        let reply: ScanReply = self.http.get(self.address, &path).await?;
        if reply.revision < revision {
            return Err(Error::went_back());
        }
        Ok(reply)
    }

    /// Reads one row; an absent one has version zero and no value.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the platform sends no valid response.
    pub async fn read_row(&self, name: &str) -> Result<Row, Error> {
        let path = format!("/table/row?name={name}");
        Ok(self.http.get(self.address, &path).await?)
    }

    /// Stores an object.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the object was not stored, or it is unknown whether it was.
    pub async fn put_object(&self, name: &str, body: Vec<u8>) -> Result<(), Error> {
        let path = format!("/objects/{name}");
        self.http.send(Method::PUT, self.address, &path, body.into()).await?;
        Ok(())
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NotFound`] if there is no object of that name, and another kind if the
    /// platform sends no valid response.
    pub async fn get_object(&self, name: &str) -> Result<Vec<u8>, Error> {
        let path = format!("/objects/{name}");
        let bytes = self.http.send(Method::GET, self.address, &path, Vec::new().into()).await?;
        Ok(bytes.to_vec())
    }

    /// Lists the names of the objects that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the platform sends no valid response.
    pub async fn list_objects(&self, prefix: &str) -> Result<Vec<String>, Error> {
        let path = format!("/objects?prefix={prefix}");
        Ok(self.http.get(self.address, &path).await?)
    }

    /// Reads the platform's list of VMs.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the platform sends no valid response.
    pub async fn list_vms(&self) -> Result<VmList, Error> {
        Ok(self.http.get(self.address, "/vms").await?)
    }
}
