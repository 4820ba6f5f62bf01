//! Line numbers of byte offsets in a text.

/// The byte offsets at which the lines of a text begin.
pub(super) struct LineIndex {
    starts: Vec<usize>,
}

impl LineIndex {
    /// Returns the index of the lines of a text.
    pub(super) fn new(text: &str) -> LineIndex {
        let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let starts = std::iter::once(0).chain(newlines.map(|(offset, _)| offset + 1));
        LineIndex {
            starts: starts.collect(),
        }
    }

    /// Returns the line number, from 1, of the byte at an offset.
    pub(super) fn line_at(&self, offset: usize) -> usize {
        self.starts.partition_point(|start| *start <= offset)
    }
}
