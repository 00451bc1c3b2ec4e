//! Which requests are sent when, decided before the first is sent.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use super::{Lengths, Options};

/// Form of a planned request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Form {
    Chat,
    Text,
    Plain,
}

/// One planned request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Item {
    /// Time after the start of the run.
    pub(super) at: Duration,
    /// Place of the caller in the options.
    pub(super) caller: usize,
    pub(super) form: Form,
    pub(super) stream: bool,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
}

/// All requests of a run, in the order of their time.
pub(super) fn plan(options: &Options) -> Vec<Item> {
    let weights: f64 = options.callers.iter().map(|it| it.weight).sum();
    let mut items = Vec::new();
    for (caller, class) in options.callers.iter().enumerate() {
        let mut random = SmallRng::seed_from_u64(options.seed.wrapping_add(caller as u64 * 7_919));
        let rate = options.rate * class.weight / weights;
        let mut at = 0.0;
        loop {
            at += interval(&mut random, rate * factor(options, caller, at));
            if at >= options.duration.as_secs_f64() || items.len() >= 2 * options.max_requests {
                break;
            }
            items.push(item(&mut random, options, caller, at));
        }
    }
    items.sort_by_key(|it| it.at);
    items.truncate(options.max_requests);
    items
}

/// Factor on a caller's rate at a time.
fn factor(options: &Options, caller: usize, at_s: f64) -> f64 {
    let key = &options.callers[caller].key;
    let bursts = options.bursts.iter().filter(|it| it.key == *key);
    let now = bursts.filter(|it| at_s >= it.from_s && at_s < it.from_s + it.for_s);
    now.map(|it| it.factor).product()
}

/// Time to the next arrival of a Poisson process, in seconds.
fn interval(random: &mut SmallRng, rate: f64) -> f64 {
    -(1.0 - random.random::<f64>()).ln() / rate
}

fn item(random: &mut SmallRng, options: &Options, caller: usize, at_s: f64) -> Item {
    let plain = random.random_range(0..1_000) < options.plain_per_mille;
    let chat = random.random_range(0..1_000) < options.chat_per_mille;
    Item {
        at: Duration::from_secs_f64(at_s),
        caller,
        form: match (plain, chat) {
            (true, _) => Form::Plain,
            (false, true) => Form::Chat,
            (false, false) => Form::Text,
        },
        stream: random.random_range(0..1_000) < options.streamed_per_mille,
        prompt_tokens: length(random, options.prompt),
        output_tokens: length(random, options.output),
    }
}

/// A length from a log-normal distribution.
fn length(random: &mut SmallRng, lengths: Lengths) -> u32 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * random.random::<f64>()).cos();
    let length = f64::from(lengths.median) * (lengths.sigma * normal).exp();
    (length.round() as u32).clamp(1, lengths.max)
}
