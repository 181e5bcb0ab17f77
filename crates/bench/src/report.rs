//! The rows that every experiment prints.

use serde::Serialize;

/// The result of one experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BenchReport {
    /// The name of the experiment.
    pub experiment: &'static str,
    /// The seed from which the whole run follows.
    pub seed: u64,
    /// The measured values.
    pub rows: Vec<BenchRow>,
}

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BenchRow {
    /// The workload and faults under which the value was measured.
    pub scenario: String,
    /// `product` or the name of a baseline.
    pub policy: String,
    /// What was measured.
    pub measure: String,
    /// The unit of the value.
    pub unit: &'static str,
    /// The value.
    pub value: f64,
    /// The stated bound, if this row has one.
    pub target: Option<f64>,
    /// How the value is compared with the bound.
    pub relation: Option<BoundRelation>,
    /// Whether the value meets the bound.
    pub met: Option<bool>,
}

/// How a value is compared with its bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BoundRelation {
    /// The value must not be below the bound.
    AtLeast,
    /// The value must not be above the bound.
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
