//! Frames: the batches of lines that the simulator sends, from a `frame` line to an `eof_batch`
//! line.

use crate::adapter::Adapter;
use crate::line::Line;
use crate::line_error::{LineError, LineErrorKind};
use crate::translate::{self, ListedEndpoint};
use gateway_core::Timestamp;
use std::io::BufRead;

/// The largest number that an endpoint list may have.
const MAX_LIST: u8 = 15;
/// Ends each reply.
const END_OF_REPLY: &str = "finished\n";

/// Reads lines and counts them.
pub(crate) struct LineReader<R> {
    input: R,
    /// The number of the line that was read last; the first one has number 1.
    number: usize,
    buffer: String,
}

impl<R: BufRead> LineReader<R> {
    /// Reads the lines of `input`.
    pub(crate) fn new(input: R) -> LineReader<R> {
        LineReader {
            input,
            number: 0,
            buffer: String::new(),
        }
    }

    /// Reads the first line of the next frame: its time, or `None` at the end of the input.
    ///
    /// # Errors
    /// The line cannot be read or does not start a frame.
    pub(crate) fn next_frame(&mut self) -> Result<Option<Timestamp>, LineError> {
        if !self.read_line()? {
            return Ok(None);
        }
        let line = Line::split(self.number, &self.buffer);
        line.expect_name("frame")?;
        let now = line.parsed("nowUs")?;
        Ok(Some(Timestamp::from_micros(now)))
    }

    /// Reads the next line of a frame.
    ///
    /// # Errors
    /// The line cannot be read, or the input ends.
    pub(crate) fn next_in_frame(&mut self) -> Result<Line<'_>, LineError> {
        if self.read_line()? {
            Ok(Line::split(self.number, &self.buffer))
        } else {
            Err(self.error(LineErrorKind::UnterminatedFrame))
        }
    }

    /// An error at the line that was read last.
    pub(crate) fn error(&self, kind: LineErrorKind) -> LineError {
        LineError {
            line: self.number,
            kind,
        }
    }

    /// Reads a line into the buffer, without its end; false at the end of the input.
    fn read_line(&mut self) -> Result<bool, LineError> {
        self.buffer.clear();
        self.number += 1;
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

/// Processes the lines of a frame up to its end, each as soon as it is read. Returns the reply.
///
/// # Errors
/// A line cannot be read or is malformed. The frame gets no reply then.
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
                let endpoints = read_list(reader, header.length)?;
                adapter.register_list(header.list, endpoints);
            }
            _ => adapter.handle(now, &line, &mut reply)?,
        }
    }
    reply.push_str(END_OF_REPLY);
    Ok(reply)
}

/// The line before an endpoint list.
struct ListHeader {
    /// The number by which updates refer to the list.
    list: u8,
    /// Lines that follow, one for each endpoint.
    length: usize,
}

impl ListHeader {
    fn parse(line: &Line) -> Result<ListHeader, LineError> {
        let list = line.parsed("list")?;
        if list > MAX_LIST {
            return Err(line.invalid("list"));
        }
        let length = line.parsed("items")?;
        Ok(ListHeader { list, length })
    }
}

fn read_list(
    reader: &mut LineReader<impl BufRead>,
    length: usize,
) -> Result<Vec<ListedEndpoint>, LineError> {
    let mut endpoints = Vec::new();
    for _ in 0..length {
        let line = reader.next_in_frame()?;
        endpoints.push(translate::listed_endpoint(&line)?);
    }
    Ok(endpoints)
}
