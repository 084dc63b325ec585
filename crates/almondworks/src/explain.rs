//! `explain`: what the logs say about one request.

use {
    crate::{arguments::ExplainArguments, error::Error},
    report::explain::LogReader,
    std::{
        fs::File,
        io::{self, BufRead, BufReader},
        path::PathBuf,
        process::ExitCode,
    },
};

/// Reads the logs and prints the explanation.
pub(crate) fn run(arguments: &ExplainArguments) -> Result<ExitCode, Error> {
    let (id, files) = arguments.words.split_first().ok_or(Error::NoId)?;
    let mut reader = LogReader::new(id);
    if files.is_empty() {
        read(&mut reader, io::stdin().lock())?;
    }
    for file in files.iter().map(PathBuf::from) {
        let opened =
            File::open(&file).map_err(|error| Error::File { file: file.clone(), error })?;
        let result = read(&mut reader, BufReader::new(opened));
        result.map_err(|error| Error::File { file, error })?;
    }
    let explanation = reader.finish();
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&explanation)?);
    } else {
        print!("{explanation}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Reads lines of bytes, since a log that was cut off may hold half a character.
fn read(reader: &mut LogReader, mut input: impl BufRead) -> io::Result<()> {
    let mut line = Vec::new();
    while input.read_until(b'\n', &mut line)? > 0 {
        reader.read_line(&String::from_utf8_lossy(&line));
        line.clear();
    }
    Ok(())
}
