//! One value for each instance.

use std::array::from_fn;
use std::ops;

use crate::grant::{Index, INSTANCES};

/// An array with one value for each instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PerInstance<T>([T; INSTANCES as usize]);

impl<T> PerInstance<T> {
    /// Returns the array of the results of `value` for each instance.
    pub fn new<F>(value: F) -> Self
    where
        F: Fn(Index) -> T,
    {
        Self(from_fn(|index| value(index as Index)))
    }

    /// Iterates over the values in the order of the instances.
    pub fn iter(&self) -> impl Iterator<Item = &T> + Clone {
        self.0.iter()
    }

    /// Iterates over mutable references to the values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.0.iter_mut()
    }
}

impl<T> ops::Index<Index> for PerInstance<T> {
    type Output = T;

    fn index(&self, index: Index) -> &T {
        &self.0[usize::from(index)]
    }
}

impl<T> ops::IndexMut<Index> for PerInstance<T> {
    fn index_mut(&mut self, index: Index) -> &mut T {
        &mut self.0[usize::from(index)]
    }
}
