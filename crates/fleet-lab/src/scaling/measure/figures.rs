//! The figures that measurements return.

use crate::scaling::cost::{is_counting_allocations, Cost};
use crate::scaling::report::Figure;

/// Returns a total divided by a number of units.
pub(super) fn per_unit(total: u64, count: u64) -> f64 {
    total as f64 / count.max(1) as f64
}

/// Returns the figures of work that sends no messages, for each of `count` repetitions.
pub(super) fn local_figures(cost: Cost, count: u64) -> Vec<Figure> {
    let mut figures = vec![
        Figure {
            name: "time_us",
            value: cost.cpu_time_us / count.max(1) as f64,
        },
        Figure {
            name: "visited",
            value: per_unit(cost.visited, count),
        },
    ];
    if is_counting_allocations() {
        figures.push(Figure {
            name: "allocations",
            value: per_unit(cost.allocations, count),
        });
    }
    figures
}

/// Returns the figures of work that sends messages, for each of `count` repetitions.
pub(super) fn message_figures(cost: Cost, count: u64) -> Vec<Figure> {
    let mut figures = local_figures(cost, count);
    figures.push(Figure {
        name: "messages",
        value: per_unit(cost.messages, count),
    });
    figures.push(Figure {
        name: "sent_bytes",
        value: per_unit(cost.bytes, count),
    });
    figures.push(Figure {
        name: "longest_bytes",
        value: cost.longest_message as f64,
    });
    figures
}

/// Returns the figures of memory, in total and for each of `count` units.
pub(super) fn memory_figures(bytes: u64, count: u64) -> Vec<Figure> {
    vec![
        Figure {
            name: "memory_bytes",
            value: bytes as f64,
        },
        Figure {
            name: "each_bytes",
            value: per_unit(bytes, count),
        },
    ]
}
