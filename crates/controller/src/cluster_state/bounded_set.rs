//! A set with an upper bound on its size.

use std::collections::{HashSet, VecDeque};

/// Keeps the most recently inserted members of a set. Older members are dropped, so that memory use
/// stays bounded however long a leader's term lasts.
#[derive(Debug)]
pub(super) struct BoundedSet<T> {
    members: HashSet<T>,
    insertion_order: VecDeque<T>,
    capacity: usize,
}

impl<T: Clone + Eq + std::hash::Hash> BoundedSet<T> {
    /// Creates an empty set of at most `capacity` members.
    pub fn new(capacity: usize) -> Self {
        Self { members: HashSet::new(), insertion_order: VecDeque::new(), capacity }
    }

    /// Inserts a member, and drops the oldest one if the capacity is exceeded. Inserting a member
    /// again does not make it newer.
    pub fn insert(&mut self, member: T) {
        if self.members.insert(member.clone()) {
            self.insertion_order.push_back(member);
            if self.insertion_order.len() > self.capacity
                && let Some(oldest) = self.insertion_order.pop_front()
            {
                self.members.remove(&oldest);
            }
        }
    }

    /// Whether the set contains a member: it was inserted and has not been dropped since.
    pub fn contains<Q>(&self, member: &Q) -> bool
    where
        T: std::borrow::Borrow<Q>,
        Q: Eq + std::hash::Hash + ?Sized,
    {
        self.members.contains(member)
    }
}

#[cfg(test)]
mod tests;
