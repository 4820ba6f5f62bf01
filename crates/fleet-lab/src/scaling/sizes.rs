//! The sizes of a fleet, and the dimensions in which it grows.

use std::fmt;

/// A dimension in which a fleet grows.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Dimension {
    /// Servers on the endpoint list.
    Servers,
    /// Customers that have sent requests to the gateway.
    Customers,
    /// Gateways in the fleet.
    Gateways,
    /// Gateways at which a customer's requests arrive.
    #[serde(rename = "spread")]
    #[value(name = "spread")]
    GatewaysPerCustomer,
    /// Open requests at the gateway.
    #[serde(rename = "open")]
    #[value(name = "open")]
    OpenRequests,
}

impl Dimension {
    /// Returns the sizes at which costs are measured.
    pub(super) fn sizes(self) -> &'static [u64] {
        match self {
            Dimension::Servers => &[14, 60, 200, 1_000, 5_000, 20_000, 110_000],
            Dimension::Customers => &[100, 1_000, 10_000, 100_000, 1_000_000],
            Dimension::Gateways | Dimension::GatewaysPerCustomer => &[3, 12, 60, 300, 1_000, 4_200],
            Dimension::OpenRequests => &[1, 10, 100, 1_000],
        }
    }
}

impl fmt::Display for Dimension {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Dimension::Servers => "servers",
            Dimension::Customers => "customers",
            Dimension::Gateways => "gateways",
            Dimension::GatewaysPerCustomer => "spread",
            Dimension::OpenRequests => "open",
        })
    }
}

/// The sizes of a fleet as one gateway sees it.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct FleetSizes {
    /// Number of servers on the endpoint list.
    pub servers: u64,
    /// Number of customers that have sent requests to the gateway.
    pub customers: u64,
    /// Number of gateways in the fleet.
    pub gateways: u32,
    /// Number of gateways at which a customer's requests arrive; values above `gateways` mean all.
    #[serde(rename = "spread")]
    pub gateways_per_customer: u32,
    /// Number of open requests at the gateway.
    #[serde(rename = "open")]
    pub open_requests: u64,
}

impl FleetSizes {
    /// Returns the sizes of the same fleet with another size in one dimension.
    pub(super) fn with(self, dimension: Dimension, size: u64) -> FleetSizes {
        let size_u32 = u32::try_from(size).unwrap_or(u32::MAX);
        match dimension {
            Dimension::Servers => FleetSizes {
                servers: size,
                ..self
            },
            Dimension::Customers => FleetSizes {
                customers: size,
                ..self
            },
            Dimension::Gateways => FleetSizes {
                gateways: size_u32,
                ..self
            },
            Dimension::GatewaysPerCustomer => FleetSizes {
                gateways_per_customer: size_u32,
                ..self
            },
            Dimension::OpenRequests => FleetSizes {
                open_requests: size,
                ..self
            },
        }
    }

    /// Returns the number of gateways at which a customer's requests arrive, which is at most the
    /// number of gateways in the fleet.
    pub(super) fn effective_gateways_per_customer(&self) -> u32 {
        self.gateways_per_customer.min(self.gateways)
    }
}
