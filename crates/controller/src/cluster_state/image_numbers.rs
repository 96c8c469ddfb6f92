//! Numbers that stand for the names of images.

use super::CachedImage;
use std::collections::HashMap;

/// The images that this leader has seen. An image keeps its number for the whole term.
#[derive(Debug, Default)]
pub(super) struct ImageNumbers {
    numbers: HashMap<String, u32>,
    names: Vec<String>,
}

impl ImageNumbers {
    /// The number of an image, which is new if the image is.
    pub fn number(&mut self, name: &str) -> u32 {
        let next = self.numbers.len() as u32;
        let number = *self.numbers.entry(name.to_owned()).or_insert(next);
        if number == next {
            self.names.push(name.to_owned());
        }
        number
    }

    /// The name of an image.
    pub fn name(&self, number: u32) -> Option<&str> {
        self.names.get(number as usize).map(String::as_str)
    }

    /// Images of a record, given by name and size in GB.
    pub fn of_record(&mut self, images: &[(String, f64)]) -> Vec<CachedImage> {
        let mut cached = |(name, size_gb): &(String, f64)| CachedImage {
            image: self.number(name),
            size_gb: *size_gb,
        };
        images.iter().map(&mut cached).collect()
    }
}
