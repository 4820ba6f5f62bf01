//! The pages at the root and in `docs/`: each file, item, page and heading that they name exists.
//!
//! A path in code font is given from the root of the repository, or from the folder `src` of a
//! package.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// What the names of files on the pages end in.
const FILE_EXTENSIONS: [&str; 5] = [".rs", ".md", ".toml", ".json", ".txt"];
/// Paths that begin with one of these are not in the repository: absolute ones and those of HTTP,
/// the folder around the repository, what a build writes.
const OUTSIDE_PREFIXES: [&str; 3] = ["/", "../", "target/"];
/// Files that exist only at times.
const OPTIONAL_FILES: [&str; 1] = ["KNOWN-RED.txt"];

/// A page with its text.
struct Page {
    /// From the root of the repository.
    path: PathBuf,
    text: String,
}

/// The root of the repository.
fn root() -> PathBuf {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let root = package.ancestors().nth(2).expect("crates/edge-node");
    root.to_owned()
}

fn entries(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder");
    let mut paths: Vec<PathBuf> = entries
        .map(|entry| entry.expect("an entry").path())
        .collect();
    paths.sort();
    paths
}

/// The files below a folder whose names end in this extension.
fn files_below(folder: &Path, extension: &str) -> Vec<PathBuf> {
    let files = entries(folder).into_iter().flat_map(|path| {
        if path.is_dir() {
            files_below(&path, extension)
        } else {
            vec![path]
        }
    });
    files
        .filter(|path| path.extension().is_some_and(|found| found == extension))
        .collect()
}

fn pages() -> Vec<Page> {
    let root = root();
    let mut paths = vec![root.join("README.md"), root.join("CONTRIBUTING.md")];
    paths.extend(files_below(&root.join("docs"), "md"));
    let page = |path: PathBuf| Page {
        text: fs::read_to_string(&path).expect("a page"),
        path: path.strip_prefix(&root).expect("below the root").to_owned(),
    };
    paths.into_iter().map(page).collect()
}

/// The lines of a page outside code blocks.
fn prose_lines(text: &str) -> impl Iterator<Item = &str> {
    let mut is_in_block = false;
    text.lines().filter(move |line| {
        let is_fence = line.trim_start().starts_with("```");
        is_in_block ^= is_fence;
        !is_in_block && !is_fence
    })
}

/// The texts in code font, each on one line.
fn code_spans(text: &str) -> Vec<&str> {
    prose_lines(text)
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .collect()
}

/// The words in code font, also those of commands.
fn code_words(text: &str) -> impl Iterator<Item = &str> {
    code_spans(text)
        .into_iter()
        .flat_map(str::split_whitespace)
        .map(|word| word.trim_matches(|character| "(),;:\"'{}".contains(character)))
}

/// Whether a word in code font names a file or folder of the repository.
fn is_repository_path(word: &str) -> bool {
    let names_file = FILE_EXTENSIONS
        .iter()
        .any(|extension| word.ends_with(extension) && word != *extension);
    (names_file || word.contains('/'))
        && !OUTSIDE_PREFIXES
            .iter()
            .any(|prefix| word.starts_with(prefix))
        && !OPTIONAL_FILES.contains(&word)
}

/// The folders that paths may start from: the root, and the folder `src` of each package.
fn path_bases() -> Vec<PathBuf> {
    let root = root();
    let sources = entries(&root.join("crates"))
        .into_iter()
        .map(|package| package.join("src"));
    sources.chain([root.clone()]).collect()
}

/// Whether a path exists below one of these folders. Of a pattern this is asked of the folder
/// before the first `*`.
fn path_exists(bases: &[PathBuf], path: &str) -> bool {
    let fixed = match path.split_once('*') {
        Some((before, _)) => before.rsplit_once('/').map_or("", |(folder, _)| folder),
        None => path,
    };
    bases.iter().any(|base| base.join(fixed).exists())
}

#[test]
fn every_path_exists() {
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
    assert!(checked > 50, "only {checked} paths were found");
    assert!(missing.is_empty(), "{missing:#?}");
}

/// The identifiers in the code of all packages, without those in comments.
fn identifiers() -> BTreeSet<String> {
    let mut identifiers = BTreeSet::new();
    for file in files_below(&root().join("crates"), "rs") {
        let text = fs::read_to_string(file).expect("code");
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

/// The identifiers of which a path to an item consists: `a::B::c(..)` or `A::b.c`.
fn item_segments(word: &str) -> Vec<&str> {
    if !word.contains("::") {
        return Vec::new();
    }
    let path = word.split(['(', '<']).next().unwrap_or_default();
    path.split("::")
        .flat_map(|segment| segment.split('.'))
        .collect()
}

/// Each part of a path to an item is in the code.
#[test]
fn every_item_exists() {
    let identifiers = identifiers();
    let mut missing = Vec::new();
    for page in pages() {
        for word in code_words(&page.text) {
            let unknown = |segment: &&str| !identifiers.contains(*segment);
            if item_segments(word).iter().any(unknown) {
                missing.push(format!("{}: {word}", page.path.display()));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}

/// The targets of the links on a page.
fn link_targets(text: &str) -> impl Iterator<Item = &str> {
    prose_lines(text).flat_map(|line| {
        line.split("](")
            .skip(1)
            .filter_map(|rest| Some(rest.split_once(')')?.0))
    })
}

/// The anchor of a heading, as the usual hosts of repositories make it.
fn anchor(heading: &str) -> String {
    let kept = heading
        .to_lowercase()
        .chars()
        .filter(|character| character.is_alphanumeric() || " -_".contains(*character))
        .collect::<String>();
    kept.replace(' ', "-")
}

fn anchors(text: &str) -> BTreeSet<String> {
    prose_lines(text)
        .filter(|line| line.starts_with('#'))
        .map(|line| anchor(line.trim_start_matches('#').trim()))
        .collect()
}

/// Whether the target of a link on a page exists: a file or folder, and its heading if it names
/// one.
fn link_resolves(page: &Page, target: &str) -> bool {
    let (file, heading) = match target.split_once('#') {
        Some((file, heading)) => (file, Some(heading)),
        None => (target, None),
    };
    let path = if file.is_empty() {
        root().join(&page.path)
    } else {
        root().join(&page.path).with_file_name("").join(file)
    };
    match heading {
        Some(heading) => {
            fs::read_to_string(path).is_ok_and(|text| anchors(&text).contains(heading))
        }
        None => path.exists(),
    }
}

#[test]
fn every_link_resolves() {
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
    assert!(checked > 10, "only {checked} links were found");
}

/// The checks themselves: what they take for a path, and that they find what is missing.
#[test]
fn what_is_missing_is_found() {
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
