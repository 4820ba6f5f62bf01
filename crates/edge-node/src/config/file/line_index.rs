//! Finds the line of a place in a text.

/// The offsets in bytes at which the lines of a text begin.
pub(super) struct LineIndex {
    starts: Vec<usize>,
}

impl LineIndex {
    /// Finds the lines of a text.
    pub(super) fn new(text: &str) -> LineIndex {
        let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let starts = std::iter::once(0).chain(newlines.map(|(offset, _)| offset + 1));
        LineIndex {
            starts: starts.collect(),
        }
    }

    /// The line, from 1, on which the byte at an offset stands.
    pub(super) fn line_at(&self, offset: usize) -> usize {
        self.starts.partition_point(|start| *start <= offset)
    }
}
