//! What promises can achieve, reckoned for one bucket that knows everything at once.
//!
//! Guards the figures in `docs/design/hard-load.md`: a change of the assumed load must show there.

use std::collections::VecDeque;

use yare::parameterized;

const STEP_MS: u64 = 10;
pub(super) const RATE: f64 = 396.0;
pub(super) const BURST: f64 = 396.0;
/// Usual mean of the workspace, in requests per second, and the factor by which it sends more.
const USUAL_PER_S: f64 = 138.0;
const EXCESS: f64 = 6.7;
/// The longest Retry-After that a caller with 5 s follows, less the time to answer and to return.
pub(super) const FOLLOWED_MS: u64 = 1600;
pub(super) const EXCESS_MS: std::ops::Range<u64> = 6000..14_000;

/// Returns the requests per second at a time: troughs of 3.4 s and peaks of 2.4 s, with the excess for 8 s.
pub(super) fn requests_per_s(now_ms: u64, phase_ms: u64) -> f64 {
    let wave = if (now_ms + phase_ms) % 5800 < 3400 { 0.383 } else { 1.87 };
    let excess = if EXCESS_MS.contains(&now_ms) { EXCESS } else { 1.0 };
    USUAL_PER_S * wave * excess
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum TokenOrder {
    /// Refused callers do not return.
    NoReturn,
    /// Returning callers get what new requests leave.
    NewFirst,
    /// Callers are served in the order in which they came first.
    PromisedFirst,
}

#[derive(Clone, Copy, Debug, Default)]
struct IdealOutcome {
    sent: f64,
    at_once: f64,
    on_return: f64,
    lost: f64,
}

fn serve(order: TokenOrder, phase_ms: u64) -> IdealOutcome {
    let mut outcome = IdealOutcome::default();
    let mut level = BURST;
    let mut waiting: VecDeque<(u64, f64)> = VecDeque::new();
    for now_ms in (0..EXCESS_MS.end + 6000).step_by(STEP_MS as usize) {
        let step_s = STEP_MS as f64 / 1000.0;
        level = (level + RATE * step_s).min(BURST);
        while waiting.front().is_some_and(|(since, _)| since + FOLLOWED_MS < now_ms) {
            outcome.lost += waiting.pop_front().map_or(0.0, |(_, count)| count);
        }
        let mut new = requests_per_s(now_ms, phase_ms) * step_s;
        outcome.sent += new;
        let mut serve_new = |level: &mut f64, outcome: &mut IdealOutcome| {
            let served = new.min(*level);
            *level -= served;
            new -= served;
            outcome.at_once += served;
        };
        if order == TokenOrder::NewFirst {
            serve_new(&mut level, &mut outcome);
        }
        while order != TokenOrder::NoReturn
            && let Some((_, count)) = waiting.front_mut()
            && level > 0.0
        {
            let served = count.min(level);
            level -= served;
            *count -= served;
            outcome.on_return += served;
            if *count <= 0.0 {
                waiting.pop_front();
            }
        }
        if order != TokenOrder::NewFirst {
            serve_new(&mut level, &mut outcome);
        }
        let queued: f64 = waiting.iter().map(|(_, count)| count).sum();
        let room = RATE * FOLLOWED_MS as f64 / 1000.0 - queued;
        let promised = match order {
            TokenOrder::NoReturn => 0.0,
            TokenOrder::NewFirst => new,
            TokenOrder::PromisedFirst => new.min(room.max(0.0)),
        };
        if promised > 0.0 {
            waiting.push_back((now_ms, promised));
        }
        outcome.lost += new - promised;
    }
    outcome
}

/// A refused caller can be served only by tokens that the bucket would lose otherwise, or in place of another
/// caller. So promises gain at most what becomes free between the last peak and the last return, and the
/// callers in place of whom others are served return too: rate times 1.6 s.
#[parameterized(
    ends_in_peak = { 3200, 508.0, 634.0 },
    ends_in_trough = { 5400, 67.0, 634.0 },
)]
fn promises_gain_what_bucket_would_lose(phase_ms: u64, new_first: f64, promised_first: f64) {
    let served = |order| {
        let outcome = serve(order, phase_ms);
        outcome.at_once + outcome.on_return
    };
    let without = served(TokenOrder::NoReturn);
    for (order, expected) in
        [(TokenOrder::NewFirst, new_first), (TokenOrder::PromisedFirst, promised_first)]
    {
        let gain = served(order) - without;
        assert!((gain - expected).abs() <= 10.0, "{order:?} serves {gain:.0} more callers");
    }
}

/// If nothing tells a returning caller from a new request, both get the same part of the tokens, even if
/// nothing else is served at that time.
#[test]
fn indistinguishable_callers_are_refused_again_in_peak() {
    let peak_per_s = requests_per_s(EXCESS_MS.start, 3400);
    let returning_per_s = RATE;
    let served = RATE / (peak_per_s + returning_per_s);
    assert!((0.18..0.20).contains(&served), "{served:.3} of the returning callers are served");
}
