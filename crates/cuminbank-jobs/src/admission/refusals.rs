//! When the refusal of a queue's jobs begins and ends, for the log.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::{MonotonicTime, QueueName};

/// Time without a refusal after which a queue counts as served again. Refused clients return within
/// 5 s, so that their next submission shows whether the queue is. It also bounds the rate of events.
const EPISODE_PAUSE: Duration = Duration::from_secs(6);

/// Time in which jobs of a queue were refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusalEpisode {
    /// Name of the queue.
    pub queue: QueueName,
    /// Time of the first refusal.
    pub began_at: MonotonicTime,
    /// Time of the last refusal.
    pub last_at: MonotonicTime,
    /// Number of refusals.
    pub refusals: u64,
}

/// Queues whose jobs are being refused by this instance.
#[derive(Clone, Debug, Default)]
pub struct RefusalLog {
    episodes: BTreeMap<QueueName, RefusalEpisode>,
}

impl RefusalLog {
    /// Records a refusal. Returns whether it is the first one of an episode.
    pub fn record_refusal(&mut self, now: MonotonicTime, queue: &str) -> bool {
        let first = !self.episodes.contains_key(queue);
        let new_episode =
            || RefusalEpisode { queue: queue.to_owned(), began_at: now, last_at: now, refusals: 0 };
        let episode = self.episodes.entry(queue.to_owned()).or_insert_with(new_episode);
        episode.last_at = now;
        episode.refusals += 1;
        first
    }

    /// Removes and returns the episodes that have ended.
    pub fn take_ended(&mut self, now: MonotonicTime) -> Vec<RefusalEpisode> {
        let is_over = |episode: &RefusalEpisode| now >= episode.last_at + EPISODE_PAUSE;
        let ended = self.episodes.values().filter(|episode| is_over(episode)).cloned().collect();
        self.episodes.retain(|_, episode| !is_over(episode));
        ended
    }
}
