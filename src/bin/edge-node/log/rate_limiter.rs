//! Lets so many of a kind pass in each span.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// A limit for each kind on its own.
pub struct Limiter<K> {
    most: u32,
    span: Duration,
    kinds: HashMap<K, Span>,
}

/// What has come of a kind since its span began.
struct Span {
    began: Instant,
    passed: u32,
    left_out: u32,
}

impl<K: Eq + Hash> Limiter<K> {
    /// `most` of each kind pass in each span, which begins with the first that comes after the last one's end.
    pub fn new(most: u32, span: Duration) -> Limiter<K> {
        Limiter { most, span, kinds: HashMap::new() }
    }

    /// Whether one more passes now: then, how many were left out in the span before, told once.
    pub fn pass(&mut self, kind: K, now: Instant) -> Option<u32> {
        let fresh = || Span { began: now, passed: 0, left_out: 0 };
        let span = self.kinds.entry(kind).or_insert_with(fresh);
        let mut before = 0;
        if now.saturating_duration_since(span.began) >= self.span {
            before = std::mem::replace(span, fresh()).left_out;
        }
        if span.passed >= self.most {
            span.left_out += 1;
            return None;
        }
        span.passed += 1;
        Some(before)
    }
}
