//! The order in which waiting messages are shed: the search for those of least priority weight.

use super::{DestinationQueue, QueuePosition};
use crate::interface::Time;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::ops::Bound;

/// A message by its age; the oldest is the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AgedMessage {
    accepted_at: Time,
    position: QueuePosition,
}

/// Messages of one destination and one class that may be shed.
#[derive(Debug, Default)]
pub(super) struct Sheddable {
    by_age: BTreeSet<AgedMessage>,
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

/// A priority weight in a total order.
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

/// The oldest message of a list that the search has not visited yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ListHead {
    weight: Weight,
    list: usize,
    message: AgedMessage,
}

/// A message that may be among those of least weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    weight: Weight,
    destination: u32,
    sequence: u64,
    list: usize,
    message: u32,
}

/// Sheddable messages of one destination and class.
struct ClassList<'a> {
    destination: u32,
    class: usize,
    messages: &'a Sheddable,
}

/// The search for the `count` messages of least weight among the sheddable ones of some destinations. Its
/// cost depends on the number of destinations and on `count`, not on how many messages wait.
pub(crate) struct ShedSearch<'a, WeightOf> {
    lists: Vec<ClassList<'a>>,
    count: usize,
    weight_of: WeightOf,
}

impl<'a, WeightOf: Fn(usize, Time) -> f64> ShedSearch<'a, WeightOf> {
    /// Starts a search in no destinations. `weight_of` takes a class and the time of acceptance, and must not
    /// grow with age.
    pub(super) fn new(count: usize, weight_of: WeightOf) -> Self {
        ShedSearch { lists: Vec::new(), count, weight_of }
    }

    /// Adds the sheddable messages that wait for a destination.
    pub(super) fn add_queue(&mut self, destination: u32, queue: &'a DestinationQueue) {
        let of_queue = queue.sheddable.iter();
        self.lists.extend(of_queue.map(|(&class, messages)| ClassList { destination, class, messages }));
    }

    /// Returns the messages of least weight, least first; those of equal weight by destination and age.
    pub(super) fn least_weight(&self) -> Vec<u32> {
        let mut chosen = self.candidates();
        chosen.sort_unstable();
        chosen.into_iter().take(self.count).map(|candidate| candidate.message).collect()
    }

    /// Returns at least `count` messages, if there are as many, among them those of least weight.
    fn candidates(&self) -> Vec<Candidate> {
        let mut heads = self.list_heads();
        let mut chosen: Vec<Candidate> = Vec::new();
        let mut run_of_equals: BTreeMap<usize, usize> = BTreeMap::new();
        while let Some(Reverse(head)) = heads.pop() {
            // All that weigh as much as the last one are visited: which of them are shed depends on their
            // order.
            let heavier = chosen.last().is_some_and(|last| last.weight < head.weight);
            if heavier && chosen.len() >= self.count {
                break;
            }
            if heavier {
                run_of_equals.clear();
            }
            let run = run_of_equals.entry(head.list).or_default();
            *run += 1;
            chosen.push(self.candidate(head.weight, head.list, head.message.position));
            // A long run of equal weights is not visited to its end: replace_long_runs finds its first by
            // order.
            if *run <= self.count {
                heads.extend(self.next_head(&head));
            }
        }
        run_of_equals.retain(|_, run| *run > self.count);
        self.replace_long_runs(&mut chosen, run_of_equals.into_keys().collect());
        chosen
    }

    /// Returns the oldest message of each list. It has the least weight of its list, so the least of all is
    /// at the head of a list.
    fn list_heads(&self) -> BinaryHeap<Reverse<ListHead>> {
        let mut heads = BinaryHeap::new();
        for (list, class_list) in self.lists.iter().enumerate() {
            heads.extend(class_list.messages.by_age.first().map(|message| self.head(list, message)));
        }
        heads
    }

    /// Returns the message of the same list that is next by age, if any.
    fn next_head(&self, head: &ListHead) -> Option<Reverse<ListHead>> {
        let after = (Bound::Excluded(head.message), Bound::Unbounded);
        let next = self.lists[head.list].messages.by_age.range(after).next();
        next.map(|message| self.head(head.list, message))
    }

    /// Replaces chosen messages of the greatest weight, in lists with more than `count` of them, by the first
    /// `count` by order.
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
