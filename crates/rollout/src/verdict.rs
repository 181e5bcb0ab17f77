//! Decides from the evidence whether the new version is worse than the old one.

use crate::evidence::{EvidenceCounts, EvidencePart, EvidenceSums, EvidenceTable, VersionSide};

/// The probability with which a good version may look this bad by chance in one comparison. A rollout makes some thousands
/// of comparisons that are not independent.
const MAX_CHANCE: f64 = 1e-6;

/// The probability of chance for the comparison without the target that has the most bad responses. It only has to show
/// that the fault isn't that of a single target.
const MAX_OTHERS_CHANCE: f64 = 0.005;

/// The fewest bad responses that stop a rollout.
const MIN_BAD: u64 = 5;

/// The factor, and the difference, by which the share of bad responses must exceed that of the old version. With many
/// responses, chance is ruled out for differences that matter to no caller.
const MIN_RATIO: f64 = 1.5;
const MIN_DIFFERENCE: f64 = 0.02;

/// Responses count as slow from this many classes above the old version's median: twice to four times as long.
const SLOW_CLASSES: usize = 2;

/// The fewest responses of the only target that has responded. Before, another one may just not have got a request yet.
const MIN_ONLY_RESPONSES: u64 = 12;

/// The fewest measured responses of the old version that tell its median.
const MIN_MEDIAN_RESPONSES: u64 = 8;

/// The figures on which a rollout is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopFigures {
    /// The tag of the route.
    pub route: u32,
    /// Whether the responses were slow, and did not fail.
    pub is_slow: bool,
    /// The responses of the new version and the bad ones among them.
    pub new: (u64, u64),
    /// The same of the old version.
    pub old: (u64, u64),
}

/// Returns the probability of at least `hits` of `trials` if each has the probability `chance`.
pub fn binomial_tail(trials: u64, hits: u64, chance: f64) -> f64 {
    if hits == 0 {
        return 1.0;
    }
    if chance <= 0.0 || hits > trials {
        return 0.0;
    }
    if chance >= 1.0 {
        return 1.0;
    }
    // The logarithm of the probability of exactly `hits`, and then the ratio of each next term to the one before.
    let ln_choose: f64 =
        (0..hits).map(|index| ((trials - index) as f64 / (index + 1) as f64).ln()).sum();
    let first =
        ln_choose + hits as f64 * chance.ln() + (trials - hits) as f64 * (1.0 - chance).ln();
    let (mut term, mut sum) = (1.0, 1.0);
    for count in hits..trials {
        term *= (trials - count) as f64 / (count + 1) as f64 * chance / (1.0 - chance);
        sum += term;
        if term < sum * 1e-12 {
            break;
        }
    }
    (first.exp() * sum).min(1.0)
}

// Returns whether the share of bad responses of the new version is higher beyond chance. Given all bad responses, each
// belongs to the new version with the probability of its share of all responses if the versions are alike.
fn is_worse(new: (u64, u64), old: (u64, u64), min_bad: u64, max_chance: f64) -> bool {
    if new.1 < min_bad || old.0 == 0 {
        return false;
    }
    let (new_share, old_share) = (new.1 as f64 / new.0 as f64, old.1 as f64 / old.0 as f64);
    if new_share < (old_share * MIN_RATIO).max(old_share + MIN_DIFFERENCE) {
        return false;
    }
    let part = new.0 as f64 / (new.0 + old.0) as f64;
    binomial_tail(new.1 + old.1, new.1, part) <= max_chance
}

/// Returns the first class that counts as slow on a route, by the old version's times.
pub(crate) fn slow_class(old: Option<&EvidenceCounts>) -> Option<usize> {
    let old = old.filter(|old| old.slower(0).0 >= MIN_MEDIAN_RESPONSES)?;
    Some(old.median_class()? + SLOW_CLASSES)
}

/// Returns the figures on which the rollout must be stopped; `None` if the new version isn't worse.
///
/// The recent responses are compared with each other, as a version may turn bad; so are all, as few may be bad at a time.
pub(crate) fn find_fault(evidence: &EvidenceTable, period: u8) -> Option<StopFigures> {
    let all = evidence.sums(0);
    let recent = evidence.sums(period.saturating_sub(1));
    let figures = compare(&recent, &recent, &all)
        .or_else(|| compare(&all, &all, &all))
        .or_else(|| compare(&recent, &all, &all))?;
    let old = all_bad(&all, VersionSide::Old);
    is_fault_of_several(evidence, old).then_some(figures)
}

fn compare(new: &EvidenceSums, old: &EvidenceSums, all: &EvidenceSums) -> Option<StopFigures> {
    new.iter().filter(|((.., side), _)| *side == VersionSide::New).find_map(
        |((route, part, _), new)| {
            let key = (*route, *part, VersionSide::Old);
            let old = old.get(&key)?;
            let figures = |is_slow, new, old| StopFigures { route: *route, is_slow, new, old };
            let (new_failures, old_failures) = (failures(new), failures(old));
            if is_worse(new_failures, old_failures, MIN_BAD, MAX_CHANCE) {
                return Some(figures(false, new_failures, old_failures));
            }
            let class = slow_class(all.get(&key))?;
            let (new, old) = (new.slower(class), old.slower(class));
            is_worse(new, old, MIN_BAD, MAX_CHANCE).then(|| figures(true, new, old))
        },
    )
}

fn failures(counts: &EvidenceCounts) -> (u64, u64) {
    (counts.responses.into(), counts.failures.into())
}

// Returns the responses of a version on all routes, and those that failed or were slow.
fn all_bad(sums: &EvidenceSums, side: VersionSide) -> (u64, u64) {
    let mut bad = (0, 0);
    for ((route, part, own_side), counts) in sums {
        if *own_side != side {
            continue;
        }
        let class = slow_class(sums.get(&(*route, *part, VersionSide::Old)));
        let slow = class.map_or(0, |class| counts.slower(class).1);
        if *part == EvidencePart::Start {
            bad.0 += u64::from(counts.responses);
        }
        bad.1 += u64::from(counts.failures) + slow;
    }
    bad
}

// Returns whether the new version's bad responses come from more than one target, where several have responded.
fn is_fault_of_several(evidence: &EvidenceTable, old: (u64, u64)) -> bool {
    let targets: Vec<(u64, u64)> = evidence.target_sums().values().copied().collect();
    if let [(all, _)] = targets[..] {
        // With one target, its faults can't be told from those of its version.
        return all >= MIN_ONLY_RESPONSES;
    }
    let worst = targets.iter().max_by_key(|(_, bad)| *bad).copied().unwrap_or_default();
    let sum = |part: fn(&(u64, u64)) -> u64| targets.iter().map(part).sum::<u64>();
    let others = (sum(|(all, _)| *all) - worst.0, sum(|(_, bad)| *bad) - worst.1);
    is_worse(others, old, 1, MAX_OTHERS_CHANCE)
}
