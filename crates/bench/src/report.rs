//! The report of an experiment, which is printed as text or JSON.

use serde::Serialize;

/// The result of one experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BenchReport {
    /// The name of the experiment.
    pub experiment: &'static str,
    /// The seed of all random numbers of the run.
    pub seed: u64,
    /// The measured values, in the order in which they are printed.
    pub rows: Vec<BenchRow>,
}

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BenchRow {
    /// The workload and the faults during the measurement.
    pub scenario: String,
    /// `product` or the name of a baseline.
    pub policy: String,
    /// The name of the measured quantity.
    pub measure: String,
    /// The unit of the value; it ends in `(machine)` if the value depends on the machine.
    pub unit: &'static str,
    /// The measured value.
    pub value: f64,
    /// The bound of the value, if there is one.
    pub target: Option<f64>,
    /// How the value is compared with the bound.
    pub relation: Option<BoundRelation>,
    /// Whether the value meets the bound; absent without a bound.
    pub met: Option<bool>,
}

/// How a value is compared with its bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BoundRelation {
    /// The value must be greater than or equal to the bound.
    AtLeast,
    /// The value must be less than or equal to the bound.
    AtMost,
}

impl BenchRow {
    /// Returns a row without a bound.
    pub fn new(
        scenario: impl Into<String>,
        policy: impl Into<String>,
        measure: impl Into<String>,
        unit: &'static str,
        value: f64,
    ) -> BenchRow {
        BenchRow {
            scenario: scenario.into(),
            policy: policy.into(),
            measure: measure.into(),
            unit,
            value,
            target: None,
            relation: None,
            met: None,
        }
    }

    /// Returns the row with an upper bound.
    pub fn at_most(self, target: f64) -> BenchRow {
        let met = self.value <= target;
        BenchRow {
            target: Some(target),
            relation: Some(BoundRelation::AtMost),
            met: Some(met),
            ..self
        }
    }

    /// Returns the row with a lower bound.
    pub fn at_least(self, target: f64) -> BenchRow {
        let met = self.value >= target;
        BenchRow {
            target: Some(target),
            relation: Some(BoundRelation::AtLeast),
            met: Some(met),
            ..self
        }
    }
}
