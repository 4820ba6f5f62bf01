//! The arguments of the command.

use super::fleet::MIN_ACTIVE_CUSTOMERS;
use super::measure::{Measurement, MEASUREMENTS};
use super::sizes::Dimension;
use std::path::PathBuf;

/// Maximum number of gateways: their numbers take two bytes in messages.
const MAX_GATEWAYS: u64 = 1 << 16;

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Measure this cost alone; may be given more than once.
    #[arg(long, value_name = "NAME")]
    pub only: Vec<String>,
    /// Let the fleet grow in this dimension alone; may be given more than once.
    #[arg(long = "over", value_name = "SIZE")]
    pub dimensions: Vec<Dimension>,
    /// Largest size in any dimension.
    #[arg(long = "most", value_name = "N", default_value_t = 1_000_000)]
    pub max_size: u64,
    /// How often each point is measured, each time with another seed.
    #[arg(long, value_name = "N", default_value_t = 5)]
    pub repeats: u64,
    /// Seed of the first repeat.
    #[arg(long, value_name = "N", default_value_t = 1)]
    pub seed: u64,
    /// Servers listed, while the fleet grows in another dimension.
    #[arg(long, value_name = "N", default_value_t = 200)]
    pub servers: u64,
    /// Customers met, while the fleet grows in another dimension.
    #[arg(long, value_name = "N", default_value_t = 1_000)]
    pub customers: u64,
    /// Gateways in the fleet, while it grows in another dimension.
    #[arg(long, value_name = "N", default_value_t = 300)]
    pub gateways: u64,
    /// Gateways that a customer's requests arrive through, while the fleet grows in another dimension; all by default.
    #[arg(
        long = "gateways-per-customer",
        visible_alias = "spread",
        value_name = "N"
    )]
    pub gateways_per_customer: Option<u64>,
    /// Requests open at the gateway, while the fleet grows in another dimension.
    #[arg(long = "open", value_name = "N", default_value_t = 10)]
    pub open_requests: u64,
    /// For CI: sizes up to 1,000 and two repeats.
    #[arg(long)]
    pub quick: bool,
    /// Write all figures to this file as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Draw processor time over size into this file as SVG.
    #[arg(long, value_name = "FILE")]
    pub plot: Option<PathBuf>,
}

impl Args {
    /// The costs that are measured.
    pub(super) fn measurements(&self) -> impl Iterator<Item = &'static Measurement> + '_ {
        MEASUREMENTS.iter().filter(|measurement| {
            self.only.is_empty() || self.only.iter().any(|only| only == measurement.name)
        })
    }

    /// The dimensions in which the fleet grows while a cost is measured.
    pub(super) fn dimensions_of(
        &self,
        measurement: &'static Measurement,
    ) -> impl Iterator<Item = Dimension> + '_ {
        let dimensions = measurement.dimensions.iter().copied();
        dimensions
            .filter(|dimension| self.dimensions.is_empty() || self.dimensions.contains(dimension))
    }

    /// What is wrong with the arguments, if anything is.
    pub(super) fn validate(&self) -> Result<(), String> {
        let names = MEASUREMENTS.map(|measurement| measurement.name);
        if let Some(name) = self
            .only
            .iter()
            .find(|only| !names.contains(&only.as_str()))
        {
            return Err(format!("--only {name:?} is none of {}", names.join(", ")));
        }
        validate_minimum("repeats", self.repeats, 1)?;
        validate_minimum("servers", self.servers, 1)?;
        validate_minimum("customers", self.customers, MIN_ACTIVE_CUSTOMERS)?;
        validate_minimum(
            "gateways-per-customer",
            self.gateways_per_customer.unwrap_or(1),
            1,
        )?;
        validate_minimum("open", self.open_requests, 1)?;
        if !(2..=MAX_GATEWAYS).contains(&self.gateways) {
            return Err(format!("--gateways must be from 2 to {MAX_GATEWAYS}"));
        }
        Ok(())
    }
}

fn validate_minimum(name: &str, value: u64, minimum: u64) -> Result<(), String> {
    if value < minimum {
        return Err(format!("--{name} must be at least {minimum}"));
    }
    Ok(())
}
