//! The command `explain`: reconstructs from structured logs what happened to a request.

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

/// Reads the logs, or standard input without any, and prints the explanation.
pub(crate) fn run(arguments: &ExplainArguments) -> Result<ExitCode, Error> {
    let (id, files) = arguments.words.split_first().ok_or(Error::NoId)?;
    let mut reader = LogReader::new(id);
    if files.is_empty() {
        read_log(&mut reader, io::stdin().lock())?;
    }
    for file in files.iter().map(PathBuf::from) {
        let input = File::open(&file).map_err(|error| Error::File { file: file.clone(), error })?;
        let result = read_log(&mut reader, BufReader::new(input));
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

/// Reads a log as bytes, since a truncated log may end within a character.
fn read_log(reader: &mut LogReader, mut input: impl BufRead) -> io::Result<()> {
    let mut line = Vec::new();
    while input.read_until(b'\n', &mut line)? > 0 {
        reader.read_line(&String::from_utf8_lossy(&line));
        line.clear();
    }
    Ok(())
}
