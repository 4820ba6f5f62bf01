//! The known key that an unknown one is probably meant to be.

use super::keys::all_keys;

/// The least similarity, from 0 to 1, at which an unknown name counts as a misspelling of a known
/// one.
const MIN_SIMILARITY: f64 = 0.75;
/// How much less the same name in another table counts than the same whole path.
const OTHER_TABLE_PENALTY: f64 = 0.05;

/// A known path and its similarity to an unknown one.
struct Candidate {
    path: &'static str,
    similarity: f64,
}

/// The path in operators' files, of a key or a table, that is most similar to `unknown`, if any is
/// similar enough.
pub(super) fn nearest_path(unknown: &str) -> Option<&'static str> {
    let candidates = known_paths().map(|path| Candidate {
        path,
        similarity: similarity(unknown, path),
    });
    candidates
        .filter(|candidate| candidate.similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.similarity.total_cmp(&right.similarity))
        .map(|candidate| candidate.path)
}

/// The paths of all keys, each followed by its table's.
fn known_paths() -> impl Iterator<Item = &'static str> {
    all_keys().flat_map(|key| {
        let table = key
            .toml_path
            .split_once('.')
            .map(|(table, _)| table.trim_end_matches("[]"));
        std::iter::once(key.toml_path).chain(table)
    })
}

/// How alike two paths are, by the whole paths or by their last names.
fn similarity(unknown: &str, known: &str) -> f64 {
    let whole = strsim::jaro_winkler(unknown, known);
    let last = strsim::jaro_winkler(&last_segment(unknown), &last_segment(known));
    whole.max(last - OTHER_TABLE_PENALTY)
}

fn last_segment(path: &str) -> String {
    path.rsplit('.')
        .next()
        .unwrap_or_default()
        .replace("[]", "")
}

#[cfg(test)]
#[path = "../../../tests/unit/config_suggest.rs"]
mod tests;
