//! Offers a request to another target while its attempt goes on; see [`ForwardState::begin_handover`].
//!
//! [`ForwardState::begin_handover`]: godwitroad_forward::ForwardState::begin_handover

use std::{
    future::Future,
    pin::{Pin, pin},
};

use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_forward::{AttemptOutcome, ForwardRequest, NextStep};
use tokio::time::timeout_at;

use super::attempt::{ActiveAttempt, CallerPayload, OpenedAnswer};
use crate::{client::TargetExchange, core::SharedCore, platform::PlatformAdapter};

/// The time for another target to accept a stream that leaves a target which is about to load weights. The stream's next
/// events wait meanwhile.
const RELOCATION_TIMEOUT: ClockSpan = ClockSpan::from_ms(250);

/// An attempt at a target that has accepted an offered request, with its answer.
#[derive(Debug)]
pub(super) struct AcceptedOffer<P: PlatformAdapter> {
    pub(super) attempt: ActiveAttempt<P>,
    pub(super) exchange: TargetExchange,
    // How the first attempt ended meanwhile; `None` if it is still silent.
    ended: Option<AttemptOutcome>,
}

impl<P: PlatformAdapter> AcceptedOffer<P> {
    /// Returns the outcome with which to end the first attempt, where `otherwise` is the reason for the offer.
    pub(super) fn first_outcome(&self, otherwise: AttemptOutcome) -> AttemptOutcome {
        self.ended.unwrap_or(otherwise)
    }
}

/// What happens first while a request is offered to another target.
enum OfferStep<T> {
    /// The first attempt went on.
    First(T),
    /// The other target answered, or the attempt there ended.
    Second(Box<std::result::Result<OpenedAnswer, AttemptOutcome>>),
    /// The other target is silent too, and this copy of the request may be offered to a third one.
    Third(Box<ForwardRequest>),
}

/// How an offer ended, beside an attempt that may go on with a `T`.
pub(super) enum OfferEnd<P: PlatformAdapter, T> {
    /// Another target has accepted the request.
    Accepted(Box<AcceptedOffer<P>>),
    /// The attempt went on before another target accepted.
    Kept(ForwardRequest, T),
    /// No other target accepted the request, and the attempt hasn't gone on.
    Declined(ForwardRequest),
    /// The attempt ended, and no other target accepted the request.
    Ended(ForwardRequest, AttemptOutcome),
}

/// How the wait for an attempt ended.
pub(super) enum WaitEnd<P: PlatformAdapter, T> {
    /// The attempt went on or ended, with the record of the offers to other targets.
    Current(Option<Box<ForwardRequest>>, std::result::Result<T, AttemptOutcome>),
    /// Another target has accepted the request.
    TakenOver(Box<AcceptedOffer<P>>),
}

/// How far the answer to a request has come.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerProgress {
    /// The id of the last event that the caller has received.
    pub(super) resume: Option<u64>,
    /// Whether the caller has received an event of this answer.
    pub(super) has_begun: bool,
    /// Whether the head of the answer has arrived.
    pub(super) is_answered: bool,
    /// Since when the target has been silent.
    pub(super) silent_since: ClockTime,
}

// Waits until `first` goes on or the target of `second` has answered. `ended` is set if `first` ends meanwhile.
async fn race<P: PlatformAdapter, T>(
    second: &ActiveAttempt<P>,
    payload: &CallerPayload,
    resume: Option<u64>,
    mut first: Pin<&mut impl Future<Output = std::result::Result<T, AttemptOutcome>>>,
    ended: &mut Option<AttemptOutcome>,
) -> OfferStep<T> {
    let core = second.core();
    let mut opened = pin!(second.open_surely(payload, resume));
    let mut limit = core.read(|state| state.silence_limit(second.request(), false));
    let mut silence = pin!(core.sleep(limit.unwrap_or_default()));
    loop {
        tokio::select! {
            biased;
            went_on = first.as_mut(), if ended.is_none() => match went_on {
                Ok(value) => return OfferStep::First(value),
                Err(outcome) => *ended = Some(outcome),
            },
            opened = opened.as_mut() => return OfferStep::Second(Box::new(opened)),
            // The second attempt stays if the first one has ended.
            () = silence.as_mut(), if limit.is_some() && ended.is_none() => {
                limit = None;
                if let Some(third) = second.begin_handover(second.request(), false) {
                    return OfferStep::Third(Box::new(third));
                }
            }
        }
    }
}

/// Offers `successor`, a copy of a request, to other targets until one accepts it or `first`, the request's attempt, goes
/// on.
pub(super) async fn offer<P: PlatformAdapter, T>(
    core: &SharedCore<P>,
    payload: &CallerPayload,
    resume: Option<u64>,
    mut successor: ForwardRequest,
    mut first: Pin<&mut impl Future<Output = std::result::Result<T, AttemptOutcome>>>,
) -> OfferEnd<P, T> {
    let mut ended = None;
    // Targets that reject an offer may accept a later one.
    let mut tried = successor.tried.clone();
    // The refusal concerns only the offer.
    while let Ok(plan) = core.choose_target(&mut successor) {
        let target = plan.target.clone();
        let mut second = ActiveAttempt::new(core.clone(), successor, plan);
        let outcome = match race(&second, payload, resume, first.as_mut(), &mut ended).await {
            OfferStep::First(value) => {
                let (mut successor, _) = second.finish(AttemptOutcome::Superseded);
                tried.push(target);
                successor.tried = tried;
                return OfferEnd::Kept(successor, value);
            }
            OfferStep::Second(opened) => match *opened {
                Ok(answer) => {
                    let exchange = second.accept(answer);
                    let accepted = AcceptedOffer { attempt: second, exchange, ended };
                    return OfferEnd::Accepted(Box::new(accepted));
                }
                Err(outcome) => outcome,
            },
            OfferStep::Third(third) => {
                tried.push(target);
                second.finish(AttemptOutcome::Superseded);
                successor = *third;
                continue;
            }
        };
        if outcome.may_have_run() {
            tried.push(target);
        }
        let step;
        (successor, step) = second.finish(outcome);
        if step != NextStep::Again {
            break;
        }
    }
    successor.tried = tried;
    match ended {
        None => OfferEnd::Declined(successor),
        Some(outcome) => OfferEnd::Ended(successor, outcome),
    }
}

/// Waits for `first`, which reads from the target of `attempt`, and offers the request to other targets whenever this one
/// has been silent for too long.
pub(super) async fn wait_or_hand_over<P: PlatformAdapter, T>(
    attempt: &ActiveAttempt<P>,
    payload: &CallerPayload,
    progress: AnswerProgress,
    mut first: Pin<&mut impl Future<Output = std::result::Result<T, AttemptOutcome>>>,
) -> WaitEnd<P, T> {
    let core = attempt.core();
    let mut silent_since = progress.silent_since;
    let mut offered: Option<Box<ForwardRequest>> = None;
    loop {
        let request = offered.as_deref().unwrap_or(attempt.request());
        let limit = core.read(|state| state.silence_limit(request, progress.is_answered));
        let Some(limit) = limit else {
            return WaitEnd::Current(offered, first.await);
        };
        let left = limit.saturating_sub(core.now().since(silent_since));
        if let Ok(result) = timeout_at(core.deadline(left), first.as_mut()).await {
            return WaitEnd::Current(offered, result);
        }
        silent_since = core.now();
        let Some(successor) = attempt.begin_handover(request, progress.has_begun) else { continue };
        match offer(core, payload, progress.resume, successor, first.as_mut()).await {
            OfferEnd::Accepted(accepted) => return WaitEnd::TakenOver(accepted),
            OfferEnd::Kept(successor, value) => {
                return WaitEnd::Current(Some(Box::new(successor)), Ok(value));
            }
            OfferEnd::Declined(successor) => offered = Some(Box::new(successor)),
            OfferEnd::Ended(successor, outcome) => {
                return WaitEnd::Current(Some(Box::new(successor)), Err(outcome));
            }
        }
    }
}

/// Opens an attempt, and offers the request to other targets whenever its own has been silent for too long. Returns the
/// attempt that goes on. `resume` is the id of the last stream event that the caller has received.
pub(super) async fn open_attempt<P: PlatformAdapter>(
    payload: &CallerPayload,
    resume: Option<u64>,
    has_begun: bool,
    mut attempt: ActiveAttempt<P>,
) -> (ActiveAttempt<P>, std::result::Result<TargetExchange, AttemptOutcome>) {
    let silent_since = attempt.core().now();
    let progress = AnswerProgress { resume, has_begun, is_answered: false, silent_since };
    let end = {
        let first = pin!(attempt.open(payload, resume));
        wait_or_hand_over(&attempt, payload, progress, first).await
    };
    match end {
        WaitEnd::Current(offered, opened) => {
            attempt.record_offers(offered);
            let opened = opened.map(|answer| attempt.accept(answer));
            (attempt, opened)
        }
        WaitEnd::TakenOver(accepted) => {
            attempt.finish(accepted.first_outcome(AttemptOutcome::Silent));
            let AcceptedOffer { attempt, exchange, .. } = *accepted;
            (attempt, Ok(exchange))
        }
    }
}

/// Offers a stream that has begun to another target while its own, which is about to load weights, isn't read.
///
/// # Errors
///
/// Returns the request with the record of the offers if no other target accepts it at once.
pub(super) async fn offer_relocation<P: PlatformAdapter>(
    attempt: &ActiveAttempt<P>,
    payload: &CallerPayload,
    resume: Option<u64>,
) -> std::result::Result<Box<AcceptedOffer<P>>, Box<ForwardRequest>> {
    let core = attempt.core();
    let successor = ForwardRequest { may_have_run: true, ..attempt.request().clone() };
    let first = pin!(async {
        core.sleep(RELOCATION_TIMEOUT).await;
        Ok(())
    });
    match offer(core, payload, resume, successor, first).await {
        OfferEnd::Accepted(accepted) => Ok(accepted),
        OfferEnd::Kept(successor, ())
        | OfferEnd::Declined(successor)
        | OfferEnd::Ended(successor, _) => Err(Box::new(successor)),
    }
}
