//! The plan of the measurements, and the measurement of one cost over one dimension.

use super::args::Args;
use super::measure::Measurement;
use super::report::{CostCurve, CostPoint};
use super::sizes::{Dimension, FleetSizes};
use anyhow::Context;
use std::io::{IsTerminal, Write};

/// Largest size with `--quick`.
const QUICK_MAX_SIZE: u64 = 1_000;
/// Maximum number of repeats with `--quick`.
const QUICK_REPEATS: u64 = 2;

/// Seed, repeats and sizes of the measurements, derived from valid arguments.
pub(super) struct MeasurementPlan {
    /// Seed of the first repeat.
    pub(super) seed: u64,
    /// Number of repeats of each point.
    pub(super) repeats: u64,
    /// Largest size in any dimension.
    pub(super) max_size: u64,
    /// Sizes in all dimensions but the one in which the fleet grows.
    pub(super) base: FleetSizes,
}

impl MeasurementPlan {
    /// Returns the plan that the arguments describe, or the reason why they are invalid.
    pub(super) fn new(args: &Args) -> Result<MeasurementPlan, String> {
        args.validate()?;
        let gateways_per_customer = args
            .gateways_per_customer
            .and_then(|count| u32::try_from(count).ok());
        let base = FleetSizes {
            servers: args.servers,
            customers: args.customers,
            gateways: args.gateways as u32,
            gateways_per_customer: gateways_per_customer.unwrap_or(u32::MAX),
            open_requests: args.open_requests,
        };
        let (max_size, repeats) = if args.quick {
            (
                args.max_size.min(QUICK_MAX_SIZE),
                args.repeats.min(QUICK_REPEATS),
            )
        } else {
            (args.max_size, args.repeats)
        };
        Ok(MeasurementPlan {
            seed: args.seed,
            repeats,
            max_size,
            base,
        })
    }

    /// Measures a cost at each size in a dimension.
    pub(super) fn measure(
        &self,
        measurement: &Measurement,
        dimension: Dimension,
    ) -> anyhow::Result<CostCurve> {
        let max_size = match dimension {
            Dimension::GatewaysPerCustomer => self.max_size.min(u64::from(self.base.gateways)),
            _ => self.max_size,
        };
        let mut points = Vec::new();
        for size in dimension
            .sizes()
            .iter()
            .copied()
            .filter(|size| *size <= max_size)
        {
            show_progress(&format!("{} over {dimension}: {size}", measurement.name));
            points.push(self.measure_point(measurement, dimension, size)?);
        }
        Ok(CostCurve {
            name: measurement.name.to_owned(),
            dimension,
            points,
        })
    }

    fn measure_point(
        &self,
        measurement: &Measurement,
        dimension: Dimension,
        size: u64,
    ) -> anyhow::Result<CostPoint> {
        let sizes = self.base.with(dimension, size);
        let mut runs = Vec::new();
        for repeat in 0..self.repeats {
            let figures = (measurement.run)(self.seed.wrapping_add(repeat), sizes);
            runs.push(figures.with_context(|| format!("{} with {sizes:?}", measurement.name))?);
        }
        Ok(CostPoint::new(size, &runs))
    }
}

/// Shows what is being measured on a terminal, in place of the previous text.
pub(super) fn show_progress(text: &str) {
    let mut stderr = std::io::stderr();
    if stderr.is_terminal() {
        // Errors are ignored, because the measurement can continue without showing its progress.
        let _ = write!(stderr, "\r\x1b[K{text}").and_then(|()| stderr.flush());
    }
}
