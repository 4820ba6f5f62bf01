//! The command-line arguments of `fleet-lab scaling`.

use super::fleet::MIN_ACTIVE_CUSTOMERS;
use super::measure::{Measurement, MEASUREMENTS};
use super::sizes::Dimension;
use std::path::PathBuf;

/// Maximum number of gateways: messages encode the number of a gateway in two bytes.
const MAX_GATEWAYS: u64 = 1 << 16;

/// Arguments of `fleet-lab scaling`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Measure only this cost; may be given more than once.
    #[arg(long, value_name = "NAME")]
    pub only: Vec<String>,
    /// Let the fleet grow only in this dimension; may be given more than once.
    #[arg(long = "over", value_name = "SIZE")]
    pub dimensions: Vec<Dimension>,
    /// Largest size in any dimension.
    #[arg(long = "most", value_name = "N", default_value_t = 1_000_000)]
    pub max_size: u64,
    /// Number of measurements of each point, each with another seed.
    #[arg(long, value_name = "N", default_value_t = 5)]
    pub repeats: u64,
    /// Seed of the first repeat.
    #[arg(long, value_name = "N", default_value_t = 1)]
    pub seed: u64,
    /// Number of listed servers while the fleet grows in another dimension.
    #[arg(long, value_name = "N", default_value_t = 200)]
    pub servers: u64,
    /// Number of customers that have sent the gateway requests, while the fleet grows in another
    /// dimension.
    #[arg(long, value_name = "N", default_value_t = 1_000)]
    pub customers: u64,
    /// Number of gateways in the fleet while it grows in another dimension.
    #[arg(long, value_name = "N", default_value_t = 300)]
    pub gateways: u64,
    /// Number of gateways at which a customer's requests arrive while the fleet grows in another
    /// dimension; all gateways by default.
    #[arg(
        long = "gateways-per-customer",
        visible_alias = "spread",
        value_name = "N"
    )]
    pub gateways_per_customer: Option<u64>,
    /// Number of open requests at the gateway while the fleet grows in another dimension.
    #[arg(long = "open", value_name = "N", default_value_t = 10)]
    pub open_requests: u64,
    /// Measure sizes up to 1,000 with at most two repeats, for CI.
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
    /// Returns the costs to measure.
    pub(super) fn measurements(&self) -> impl Iterator<Item = &'static Measurement> + '_ {
        MEASUREMENTS.iter().filter(|measurement| {
            self.only.is_empty() || self.only.iter().any(|only| only == measurement.name)
        })
    }

    /// Returns the dimensions in which the fleet grows while a cost is measured.
    pub(super) fn dimensions_of(
        &self,
        measurement: &'static Measurement,
    ) -> impl Iterator<Item = Dimension> + '_ {
        let dimensions = measurement.dimensions.iter().copied();
        dimensions
            .filter(|dimension| self.dimensions.is_empty() || self.dimensions.contains(dimension))
    }

    /// Returns an error message if the arguments are invalid.
    pub(super) fn validate(&self) -> Result<(), String> {
        let names = MEASUREMENTS.map(|measurement| measurement.name);
        if let Some(name) = self
            .only
            .iter()
            .find(|only| !names.contains(&only.as_str()))
        {
            return Err(format!(
                "--only {name:?}: must be one of {}",
                names.join(", ")
            ));
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
