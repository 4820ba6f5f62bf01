//! The documentation pages at the root of the repository and in `docs/`: every file, item and
//! heading that they name exists.
//!
//! A path in a code span is relative to the root of the repository, or to the directory `src` of a
//! package.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Suffixes by which a word in a code span is recognized as a file name.
const FILE_EXTENSIONS: [&str; 5] = [".rs", ".md", ".toml", ".json", ".txt"];
/// Prefixes of paths that are outside the repository: absolute paths and HTTP paths, paths in the
/// parent directory, and build output.
const OUTSIDE_PREFIXES: [&str; 3] = ["/", "../", "target/"];
/// Files that pages may name although they do not always exist.
const OPTIONAL_FILES: [&str; 1] = ["KNOWN-RED.txt"];

struct Page {
    /// Path relative to the root of the repository.
    path: PathBuf,
    text: String,
}

fn root() -> PathBuf {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let root = package
        .ancestors()
        .nth(2)
        .expect("package directory is crates/edge-node");
    root.to_owned()
}

/// Returns the paths of the entries of a directory, sorted.
fn entries(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).expect("directory is readable");
    let mut paths: Vec<PathBuf> = entries
        .map(|entry| entry.expect("directory entry").path())
        .collect();
    paths.sort();
    paths
}

/// Returns the files with this extension in a directory and its subdirectories.
fn files_below(directory: &Path, extension: &str) -> Vec<PathBuf> {
    let files = entries(directory).into_iter().flat_map(|path| {
        if path.is_dir() {
            files_below(&path, extension)
        } else {
            vec![path]
        }
    });
    files
        .filter(|path| path.extension().is_some_and(|actual| actual == extension))
        .collect()
}

fn pages() -> Vec<Page> {
    let root = root();
    let mut paths = vec![root.join("README.md"), root.join("CONTRIBUTING.md")];
    paths.extend(files_below(&root.join("docs"), "md"));
    let page = |path: PathBuf| Page {
        text: fs::read_to_string(&path).expect("page is readable"),
        path: path
            .strip_prefix(&root)
            .expect("path below the root")
            .to_owned(),
    };
    paths.into_iter().map(page).collect()
}

/// Iterates over the lines of a page outside code blocks.
fn prose_lines(text: &str) -> impl Iterator<Item = &str> {
    let mut is_in_code_block = false;
    text.lines().filter(move |line| {
        let is_fence = line.trim_start().starts_with("```");
        is_in_code_block ^= is_fence;
        !is_in_code_block && !is_fence
    })
}

/// Returns the contents of the code spans of a page. A span is on one line.
fn code_spans(text: &str) -> Vec<&str> {
    prose_lines(text)
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .collect()
}

/// Iterates over the words of all code spans, without surrounding punctuation.
fn code_words(text: &str) -> impl Iterator<Item = &str> {
    code_spans(text)
        .into_iter()
        .flat_map(str::split_whitespace)
        .map(|word| word.trim_matches(|character| "(),;:\"'{}".contains(character)))
}

/// Returns whether a word of a code span names a file or directory of the repository.
fn is_repository_path(word: &str) -> bool {
    let is_file_name = FILE_EXTENSIONS
        .iter()
        .any(|extension| word.ends_with(extension) && word != *extension);
    (is_file_name || word.contains('/'))
        && !OUTSIDE_PREFIXES
            .iter()
            .any(|prefix| word.starts_with(prefix))
        && !OPTIONAL_FILES.contains(&word)
}

/// Returns the directories that paths may be relative to: the root, and the directory `src` of each
/// package.
fn path_bases() -> Vec<PathBuf> {
    let root = root();
    let source_directories = entries(&root.join("crates"))
        .into_iter()
        .map(|package| package.join("src"));
    source_directories.chain([root.clone()]).collect()
}

/// Returns whether a path exists relative to one of `bases`. For a pattern, only the directories
/// before the first `*` are checked.
fn path_exists(bases: &[PathBuf], path: &str) -> bool {
    let literal_part = match path.split_once('*') {
        Some((before, _)) => before
            .rsplit_once('/')
            .map_or("", |(directory, _)| directory),
        None => path,
    };
    bases.iter().any(|base| base.join(literal_part).exists())
}

#[test]
fn every_path_on_the_pages_exists() {
    let bases = path_bases();
    let mut missing = Vec::new();
    let mut checked = 0;
    for page in pages() {
        for word in code_words(&page.text).filter(|word| is_repository_path(word)) {
            checked += 1;
            if !path_exists(&bases, word) {
                missing.push(format!("{}: {word}", page.path.display()));
            }
        }
    }
    assert!(checked > 50, "found only {checked} paths");
    assert!(missing.is_empty(), "{missing:#?}");
}

/// Returns the words in the code of all packages, except on comment lines.
fn identifiers() -> BTreeSet<String> {
    let mut identifiers = BTreeSet::new();
    for path in files_below(&root().join("crates"), "rs") {
        let text = fs::read_to_string(path).expect("source file is readable");
        for line in text
            .lines()
            .filter(|line| !line.trim_start().starts_with("//"))
        {
            let words = line.split(|character: char| !is_identifier_character(character));
            identifiers.extend(words.map(str::to_owned));
        }
    }
    identifiers
}

fn is_identifier_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || character == '_'
}

/// Returns the identifiers in a path to an item, such as `a::B::c(..)` or `A::b.c`; empty if `word`
/// is not such a path.
fn item_segments(word: &str) -> Vec<&str> {
    if !word.contains("::") {
        return Vec::new();
    }
    let path = word.split(['(', '<']).next().unwrap_or_default();
    path.split("::")
        .flat_map(|segment| segment.split('.'))
        .collect()
}

/// Checks that each identifier in a path to an item occurs in the code.
#[test]
fn every_item_on_the_pages_exists() {
    let identifiers = identifiers();
    let mut missing = Vec::new();
    for page in pages() {
        for word in code_words(&page.text) {
            let is_unknown = |segment: &&str| !identifiers.contains(*segment);
            if item_segments(word).iter().any(is_unknown) {
                missing.push(format!("{}: {word}", page.path.display()));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}

/// Iterates over the targets of the links on a page.
fn link_targets(text: &str) -> impl Iterator<Item = &str> {
    prose_lines(text).flat_map(|line| {
        line.split("](")
            .skip(1)
            .filter_map(|rest| Some(rest.split_once(')')?.0))
    })
}

/// Returns the anchor that common repository hosts generate for a heading.
fn anchor(heading: &str) -> String {
    let filtered = heading
        .to_lowercase()
        .chars()
        .filter(|character| character.is_alphanumeric() || " -_".contains(*character))
        .collect::<String>();
    filtered.replace(' ', "-")
}

/// Returns the anchors of all headings of a page.
fn anchors(text: &str) -> BTreeSet<String> {
    prose_lines(text)
        .filter(|line| line.starts_with('#'))
        .map(|line| anchor(line.trim_start_matches('#').trim()))
        .collect()
}

/// Returns whether the target of a link on a page exists: the file or directory, and the heading if
/// the target names one.
fn link_resolves(page: &Page, target: &str) -> bool {
    let (file_path, heading) = match target.split_once('#') {
        Some((file_path, heading)) => (file_path, Some(heading)),
        None => (target, None),
    };
    let path = if file_path.is_empty() {
        root().join(&page.path)
    } else {
        root().join(&page.path).with_file_name("").join(file_path)
    };
    match heading {
        Some(heading) => {
            fs::read_to_string(path).is_ok_and(|text| anchors(&text).contains(heading))
        }
        None => path.exists(),
    }
}

#[test]
fn every_link_on_the_pages_resolves() {
    let mut checked = 0;
    for page in pages() {
        for target in link_targets(&page.text).filter(|target| !target.starts_with("http")) {
            checked += 1;
            assert!(
                link_resolves(&page, target),
                "{}: {target}",
                page.path.display()
            );
        }
    }
    assert!(checked > 10, "found only {checked} links");
}

/// Tests the helpers of this file: which words count as paths, and that missing paths and headings
/// are detected.
#[test]
fn helpers_recognize_paths_and_detect_missing_targets() {
    for word in [
        "policy/quota.rs",
        "crates/",
        ".ci/run",
        "main.rs",
        "Cargo.toml",
    ] {
        assert!(is_repository_path(word), "{word}");
    }
    for word in [
        ".toml",
        "/readyz",
        "../given/x.toml",
        "target/release/x",
        "check_pending",
    ] {
        assert!(!is_repository_path(word), "{word}");
    }
    let bases = path_bases();
    for path in ["README.md", "reload.rs", "crates/*/src", "settings/mod.rs"] {
        assert!(path_exists(&bases, path), "{path}");
    }
    for path in ["src/reload.rs", "load.rs", "cratez/*/src"] {
        assert!(!path_exists(&bases, path), "{path}");
    }
    assert_eq!(
        code_spans("`a` b `c d`\n```\n`e`\n```\n`f`"),
        ["a", "c d", "f"]
    );
    assert_eq!(item_segments("Node::run(x)"), ["Node", "run"]);
    assert_eq!(
        item_segments("Gateway::quotas.local"),
        ["Gateway", "quotas", "local"]
    );
    assert_eq!(anchor("What is `still` open?"), "what-is-still-open");
    let page = Page {
        path: "docs/page.md".into(),
        text: String::new(),
    };
    assert!(link_resolves(&page, "../README.md#build-and-run"));
    assert!(!link_resolves(&page, "../README.md#build"));
    assert!(!link_resolves(&page, "README.md"));
}
