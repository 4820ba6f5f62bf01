//! Suggests a known key or table for an unknown one.

use super::keys::all_keys;

/// Minimum similarity, from 0 to 1, at which an unknown path counts as a misspelling of a known
/// path.
const MIN_SIMILARITY: f64 = 0.75;
/// Amount by which the similarity of two last segments is reduced, so that an equal path is
/// preferred to an equal key in another table.
const OTHER_TABLE_PENALTY: f64 = 0.05;

/// A known path and its similarity to an unknown path.
struct Candidate {
    path: &'static str,
    similarity: f64,
}

/// Returns the path in operators' TOML, of a key or a table, that is most similar to `unknown`;
/// `None` if no path is similar enough.
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

/// Returns the paths of all keys, each followed by the path of its table.
fn known_paths() -> impl Iterator<Item = &'static str> {
    all_keys().flat_map(|key| {
        let table = key
            .toml_path
            .split_once('.')
            .map(|(table, _)| table.trim_end_matches("[]"));
        std::iter::once(key.toml_path).chain(table)
    })
}

/// Returns the similarity of two paths, from 0 to 1: that of the whole paths or, less
/// [`OTHER_TABLE_PENALTY`], that of their last segments, whichever is higher.
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
