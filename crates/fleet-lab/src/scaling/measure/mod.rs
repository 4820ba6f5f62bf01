//! The costs that are measured. Each run creates its own gateways, so that repeats share nothing.

mod figures;
mod list_text;
mod memory;
mod work;

use super::report::Figure;
use super::sizes::{Dimension, FleetSizes};
use anyhow::Result;
use list_text::measure_list_text;
use memory::{measure_customer_memory, measure_gateway_memory, measure_server_memory};
use work::{
    measure_control_tick, measure_datagram, measure_endpoint_change, measure_request,
    measure_snapshot, measure_timer,
};

/// A cost that can be measured.
pub(super) struct Measurement {
    /// Name of the measurement on the command line.
    pub(super) name: &'static str,
    /// Dimensions in which the fleet may grow.
    pub(super) dimensions: &'static [Dimension],
    /// Measures the cost once, with the given seed and sizes.
    pub(super) run: fn(u64, FleetSizes) -> Result<Vec<Figure>>,
}

pub(super) const MEASUREMENTS: [Measurement; 10] = [
    Measurement {
        name: "request",
        dimensions: &[
            Dimension::Servers,
            Dimension::Customers,
            Dimension::Gateways,
            Dimension::GatewaysPerCustomer,
            Dimension::OpenRequests,
        ],
        run: measure_request,
    },
    Measurement {
        name: "datagram",
        dimensions: &[
            Dimension::Servers,
            Dimension::Customers,
            Dimension::Gateways,
        ],
        run: measure_datagram,
    },
    Measurement {
        name: "entry",
        dimensions: &[Dimension::Servers],
        run: measure_endpoint_change,
    },
    Measurement {
        name: "list",
        dimensions: &[Dimension::Servers],
        run: measure_snapshot,
    },
    Measurement {
        name: "sweep",
        dimensions: &[
            Dimension::Servers,
            Dimension::Customers,
            Dimension::Gateways,
            Dimension::OpenRequests,
        ],
        run: measure_timer,
    },
    Measurement {
        name: "tick",
        dimensions: &[
            Dimension::Servers,
            Dimension::Customers,
            Dimension::Gateways,
            Dimension::GatewaysPerCustomer,
        ],
        run: measure_control_tick,
    },
    Measurement {
        name: "feed",
        dimensions: &[Dimension::Servers],
        run: measure_list_text,
    },
    Measurement {
        name: "memory-servers",
        dimensions: &[Dimension::Servers],
        run: measure_server_memory,
    },
    Measurement {
        name: "memory-customers",
        dimensions: &[Dimension::Customers],
        run: measure_customer_memory,
    },
    Measurement {
        name: "memory-gateways",
        dimensions: &[Dimension::Gateways],
        run: measure_gateway_memory,
    },
];
