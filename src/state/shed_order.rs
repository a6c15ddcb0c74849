//! Load shedding: finds the waiting messages of least priority weight.
//!
//! The sheddable messages are kept in one list per destination and class. The weight of a message does not
//! grow with its age, so a list in order of age, oldest first, is also in ascending order of weight. The
//! search is a k-way merge of these lists with a binary heap.

use super::{DestinationQueue, QueuePosition};
use crate::interface::Time;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::ops::Bound;

/// Sort key of a message by age, oldest first: clock time of acceptance in nanoseconds, then queue position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AgedMessage {
    accepted_at: Time,
    position: QueuePosition,
}

/// Messages of one destination and one class that may be shed, in two orders.
#[derive(Debug, Default)]
pub(super) struct Sheddable {
    by_age: BTreeSet<AgedMessage>,
    /// Clock time of acceptance of each message in nanoseconds, by queue position.
    by_position: BTreeMap<QueuePosition, Time>,
}

impl Sheddable {
    pub(super) fn insert(&mut self, accepted_at: Time, position: QueuePosition) {
        self.by_age.insert(AgedMessage { accepted_at, position });
        self.by_position.insert(position, accepted_at);
    }

    pub(super) fn remove(&mut self, accepted_at: Time, position: QueuePosition) {
        self.by_age.remove(&AgedMessage { accepted_at, position });
        self.by_position.remove(&position);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_position.is_empty()
    }
}

/// A priority weight with the total order of [`f64::total_cmp`], so that it can be a sort key.
#[derive(Clone, Copy, Debug)]
struct Weight(f64);

impl Ord for Weight {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Weight {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Weight {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Weight {}

/// Heap entry of the merge: the oldest message of a list that has not been visited yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ListHead {
    weight: Weight,
    list: usize,
    message: AgedMessage,
}

/// A message that may be shed, in the order of shedding: by weight, then destination, then position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    weight: Weight,
    destination: u32,
    sequence: u64,
    list: usize,
    message: u32,
}

/// The sheddable messages of one destination and class.
struct ClassList<'a> {
    destination: u32,
    class: usize,
    messages: &'a Sheddable,
}

/// Finds the `count` messages of least weight among the sheddable messages of some destinations.
///
/// The cost depends on the number of destinations and on `count`, not on the number of waiting messages.
pub(crate) struct ShedSearch<'a, WeightOf> {
    lists: Vec<ClassList<'a>>,
    count: usize,
    weight_of: WeightOf,
}

impl<'a, WeightOf: Fn(usize, Time) -> f64> ShedSearch<'a, WeightOf> {
    /// Creates a search over no destinations. `weight_of` returns the weight of a message from its class and
    /// its time of acceptance; it must not grow with the age of the message.
    pub(super) fn new(count: usize, weight_of: WeightOf) -> Self {
        ShedSearch { lists: Vec::new(), count, weight_of }
    }

    /// Adds the sheddable messages in the queue of a destination to the search.
    pub(super) fn add_queue(&mut self, destination: u32, queue: &'a DestinationQueue) {
        let of_queue = queue.sheddable.iter();
        self.lists.extend(of_queue.map(|(&class, messages)| ClassList { destination, class, messages }));
    }

    /// Returns up to `count` messages in ascending order of weight, then destination, then queue position.
    pub(super) fn least_weight(&self) -> Vec<u32> {
        let mut chosen = self.candidates();
        chosen.sort_unstable();
        chosen.into_iter().take(self.count).map(|candidate| candidate.message).collect()
    }

    /// Returns a superset of the messages to shed: at least `count`, or all if there are fewer.
    fn candidates(&self) -> Vec<Candidate> {
        let mut heads = self.list_heads();
        let mut chosen: Vec<Candidate> = Vec::new();
        // Number of visited messages of the present weight, by list.
        let mut run_lengths: BTreeMap<usize, usize> = BTreeMap::new();
        while let Some(Reverse(head)) = heads.pop() {
            // Stop only at a heavier message: among messages of equal weight, destination and position decide
            // which are shed, so all of them are candidates.
            let heavier = chosen.last().is_some_and(|last| last.weight < head.weight);
            if heavier && chosen.len() >= self.count {
                break;
            }
            if heavier {
                run_lengths.clear();
            }
            let run_length = run_lengths.entry(head.list).or_default();
            *run_length += 1;
            chosen.push(self.candidate(head.weight, head.list, head.message.position));
            // At most `count + 1` messages of equal weight are visited per list. If there are more of them,
            // replace_long_runs selects the first `count` by position.
            if *run_length <= self.count {
                heads.extend(self.next_head(&head));
            }
        }
        run_lengths.retain(|_, length| *length > self.count);
        self.replace_long_runs(&mut chosen, run_lengths.into_keys().collect());
        chosen
    }

    /// Returns a min-heap with the oldest message of each list, which has the least weight of its list.
    fn list_heads(&self) -> BinaryHeap<Reverse<ListHead>> {
        let mut heads = BinaryHeap::new();
        for (list, class_list) in self.lists.iter().enumerate() {
            heads.extend(class_list.messages.by_age.first().map(|message| self.head(list, message)));
        }
        heads
    }

    /// Returns the next younger message of the same list, if any.
    fn next_head(&self, head: &ListHead) -> Option<Reverse<ListHead>> {
        let after = (Bound::Excluded(head.message), Bound::Unbounded);
        let next = self.lists[head.list].messages.by_age.range(after).next();
        next.map(|message| self.head(head.list, message))
    }

    /// Corrects the choice from `long_lists`, which have more than `count` messages of the greatest chosen
    /// weight: removes their chosen messages of that weight, and chooses instead the first `count` messages
    /// of that weight in order of queue position.
    fn replace_long_runs(&self, chosen: &mut Vec<Candidate>, long_lists: BTreeSet<usize>) {
        let Some(greatest) = chosen.last().map(|last| last.weight) else { return };
        chosen.retain(|candidate| candidate.weight < greatest || !long_lists.contains(&candidate.list));
        for list in long_lists {
            let by_position = self.lists[list].messages.by_position.iter();
            let equals = by_position.filter(|(_, &accepted_at)| self.weight(list, accepted_at) == greatest);
            let first = equals.take(self.count);
            chosen.extend(first.map(|(&position, _)| self.candidate(greatest, list, position)));
        }
    }

    fn weight(&self, list: usize, accepted_at: Time) -> Weight {
        Weight((self.weight_of)(self.lists[list].class, accepted_at))
    }

    fn head(&self, list: usize, message: &AgedMessage) -> Reverse<ListHead> {
        let weight = self.weight(list, message.accepted_at);
        Reverse(ListHead { weight, list, message: *message })
    }

    fn candidate(&self, weight: Weight, list: usize, position: QueuePosition) -> Candidate {
        let QueuePosition { sequence, message } = position;
        Candidate { weight, destination: self.lists[list].destination, sequence, list, message }
    }
}
