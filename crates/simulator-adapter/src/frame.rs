//! Frames: batches of lines from the simulator. A frame starts with a `frame` line and ends with an
//! `eof_batch` line.

use crate::adapter::Adapter;
use crate::line::Line;
use crate::line_error::{LineError, LineErrorKind};
use crate::translate::{self, ListedEndpoint};
use gateway_core::Timestamp;
use std::io::BufRead;

/// Highest number under which an endpoint list can be stored.
const MAX_LIST_NUMBER: u8 = 15;
/// The last line of each reply.
const END_OF_REPLY: &str = "finished\n";

/// Reads lines and counts them.
pub(crate) struct LineReader<R> {
    input: R,
    /// Number of the line that is being read or was read last, from 1; 0 before the first line.
    line_number: usize,
    buffer: String,
}

impl<R: BufRead> LineReader<R> {
    pub(crate) fn new(input: R) -> LineReader<R> {
        LineReader {
            input,
            line_number: 0,
            buffer: String::new(),
        }
    }

    /// Reads the `frame` line that starts the next frame. Returns the time of the frame, or `None`
    /// at the end of the input.
    ///
    /// # Errors
    /// Returns an error if the line cannot be read or is not a valid `frame` line.
    pub(crate) fn next_frame(&mut self) -> Result<Option<Timestamp>, LineError> {
        if !self.read_line()? {
            return Ok(None);
        }
        let line = Line::split(self.line_number, &self.buffer);
        line.expect_name("frame")?;
        let now = line.parsed("nowUs")?;
        Ok(Some(Timestamp::from_micros(now)))
    }

    /// Reads the next line within a frame.
    ///
    /// # Errors
    /// Returns an error if the line cannot be read or the input has ended.
    pub(crate) fn next_in_frame(&mut self) -> Result<Line<'_>, LineError> {
        if self.read_line()? {
            Ok(Line::split(self.line_number, &self.buffer))
        } else {
            Err(self.error(LineErrorKind::UnterminatedFrame))
        }
    }

    /// Returns an error for the line that is being read or was read last.
    pub(crate) fn error(&self, kind: LineErrorKind) -> LineError {
        LineError {
            line: self.line_number,
            kind,
        }
    }

    /// Reads a line into the buffer, without its line ending. Returns false at the end of the
    /// input.
    fn read_line(&mut self) -> Result<bool, LineError> {
        self.buffer.clear();
        self.line_number += 1;
        let read = self.input.read_line(&mut self.buffer);
        let bytes = read.map_err(|error| self.error(LineErrorKind::Read(error)))?;
        if bytes == 0 {
            return Ok(false);
        }
        if self.buffer.pop() != Some('\n') {
            return Err(self.error(LineErrorKind::Truncated));
        }
        if self.buffer.ends_with('\r') {
            self.buffer.pop();
        }
        Ok(true)
    }
}

/// Processes the lines of a frame up to its `eof_batch` line, each as soon as it is read. Returns
/// the reply.
///
/// # Errors
/// Returns an error, and no reply, if a line cannot be read or handled.
pub(crate) fn process(
    reader: &mut LineReader<impl BufRead>,
    now: Timestamp,
    adapter: &mut Adapter,
) -> Result<String, LineError> {
    let mut reply = String::new();
    loop {
        let line = reader.next_in_frame()?;
        match line.name {
            "eof_batch" => break,
            "register" => {
                let header = ListHeader::parse(&line)?;
                let endpoints = read_endpoints(reader, header.length)?;
                adapter.register_list(header.list_number, endpoints);
            }
            _ => adapter.handle(now, &line, &mut reply)?,
        }
    }
    reply.push_str(END_OF_REPLY);
    Ok(reply)
}

/// A `register` line, which precedes the lines of an endpoint list.
struct ListHeader {
    /// Number that `update` lines refer to.
    list_number: u8,
    /// Number of lines that follow, one for each endpoint.
    length: usize,
}

impl ListHeader {
    fn parse(line: &Line) -> Result<ListHeader, LineError> {
        let list_number = line.parsed("list")?;
        if list_number > MAX_LIST_NUMBER {
            return Err(line.invalid("list"));
        }
        let length = line.parsed("items")?;
        Ok(ListHeader {
            list_number,
            length,
        })
    }
}

fn read_endpoints(
    reader: &mut LineReader<impl BufRead>,
    length: usize,
) -> Result<Vec<ListedEndpoint>, LineError> {
    let mut endpoints = Vec::new();
    for _ in 0..length {
        let line = reader.next_in_frame()?;
        endpoints.push(translate::parse_listed_endpoint(&line)?);
    }
    Ok(endpoints)
}
