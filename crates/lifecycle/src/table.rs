//! Stages as enum variants, for tables that hold requests in any stage.

use godwitroad_base::RequestId;
use godwitroad_config::RepeatRule;

use crate::stage::{
    Admitted, NotRunProof, Offered, Queued, Received, Repeatable, RequestLife, RunOnce, Streaming,
};

/// An offered request whose repeat mode is only known at run time.
#[derive(Debug)]
pub enum OfferedLife {
    /// The request may run more than once.
    Repeatable(RequestLife<Offered<Repeatable>>),
    /// The request must run at most once.
    RunOnce(RequestLife<Offered<RunOnce>>),
}

/// A request in any stage that is not final.
#[derive(Debug)]
pub enum LifeStage {
    /// The request is waiting for rate limit tokens of its account.
    Received(RequestLife<Received>),
    /// Tokens are reserved, and the request is waiting for its idempotency claim.
    Admitted(RequestLife<Admitted>),
    /// The request is waiting for a target.
    Queued(RequestLife<Queued>),
    /// An attempt was passed to the code that calls the target.
    Offered(OfferedLife),
    /// The answer to a repeatable request is arriving.
    StreamingRepeatable(RequestLife<Streaming<Repeatable>>),
    /// The answer to a run-once request is arriving.
    StreamingRunOnce(RequestLife<Streaming<RunOnce>>),
}

/// The consequence of a failed attempt.
#[derive(Debug)]
pub enum FailureStep {
    /// The request may be attempted again.
    Retry(RequestLife<Queued>),
    /// The request may have run and must not run again.
    Unknown,
}

impl OfferedLife {
    /// Offers a queued request with the repeat mode that `rule` requires.
    pub fn new(life: RequestLife<Queued>, rule: RepeatRule) -> OfferedLife {
        match rule {
            RepeatRule::Repeatable => OfferedLife::Repeatable(life.offer()),
            RepeatRule::RunOnce => OfferedLife::RunOnce(life.offer()),
        }
    }

    /// Records that the target has started to answer.
    pub fn start(self) -> LifeStage {
        match self {
            OfferedLife::Repeatable(life) => {
                LifeStage::StreamingRepeatable(life.mark_sent().start())
            }
            OfferedLife::RunOnce(life) => LifeStage::StreamingRunOnce(life.mark_sent().start()),
        }
    }

    /// Returns the consequence of a failure before the target started to answer.
    pub fn fail(self, proof: Option<NotRunProof>) -> FailureStep {
        match (self, proof) {
            (OfferedLife::Repeatable(life), Some(proof)) => FailureStep::Retry(life.requeue(proof)),
            (OfferedLife::RunOnce(life), Some(proof)) => FailureStep::Retry(life.requeue(proof)),
            (OfferedLife::Repeatable(life), None) => FailureStep::Retry(life.mark_sent().retry()),
            (OfferedLife::RunOnce(life), None) => {
                life.mark_sent().mark_unknown();
                FailureStep::Unknown
            }
        }
    }
}

impl LifeStage {
    /// Returns the id of the request.
    pub fn id(&self) -> RequestId {
        match self {
            LifeStage::Received(life) => life.id(),
            LifeStage::Admitted(life) => life.id(),
            LifeStage::Queued(life) => life.id(),
            LifeStage::Offered(OfferedLife::Repeatable(life)) => life.id(),
            LifeStage::Offered(OfferedLife::RunOnce(life)) => life.id(),
            LifeStage::StreamingRepeatable(life) => life.id(),
            LifeStage::StreamingRunOnce(life) => life.id(),
        }
    }

    /// Returns the number of attempts so far, including the current one.
    pub fn attempts(&self) -> u32 {
        match self {
            LifeStage::Received(life) => life.attempts(),
            LifeStage::Admitted(life) => life.attempts(),
            LifeStage::Queued(life) => life.attempts(),
            LifeStage::Offered(OfferedLife::Repeatable(life)) => life.attempts(),
            LifeStage::Offered(OfferedLife::RunOnce(life)) => life.attempts(),
            LifeStage::StreamingRepeatable(life) => life.attempts(),
            LifeStage::StreamingRunOnce(life) => life.attempts(),
        }
    }

    /// Returns whether the request certainly has not run; `false` while an attempt is running.
    pub fn has_not_run(&self) -> bool {
        match self {
            LifeStage::Received(_) | LifeStage::Admitted(_) => true,
            LifeStage::Queued(life) => !life.may_have_run(),
            _ => false,
        }
    }

    /// Returns the consequence of a failure of the current attempt.
    ///
    /// # Errors
    ///
    /// Returns the stage unchanged if no attempt is running.
    pub fn fail(self, proof: Option<NotRunProof>) -> Result<FailureStep, LifeStage> {
        match self {
            LifeStage::Received(_) | LifeStage::Admitted(_) | LifeStage::Queued(_) => Err(self),
            LifeStage::Offered(offered) => Ok(offered.fail(proof)),
            LifeStage::StreamingRepeatable(life) => Ok(FailureStep::Retry(life.resume())),
            LifeStage::StreamingRunOnce(life) => {
                life.mark_unknown();
                Ok(FailureStep::Unknown)
            }
        }
    }
}
