//! Numeric ids for image names.

use super::CachedImage;
use crate::records::ImageRecord;
use std::collections::HashMap;

/// A cached image under its name instead of its numeric id.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct NamedImage<'a> {
    /// Name of the image, as jobs and the machine registry give it.
    pub name: &'a str,
    /// Size of the image, GB.
    pub size_gb: f64,
}

/// Assigns a numeric id to each image that this leader has seen. An image keeps its id for the
/// term.
#[derive(Debug, Default)]
pub(super) struct ImageNumbers {
    numbers: HashMap<String, u32>,
    names: Vec<String>,
}

impl ImageNumbers {
    /// Returns the numeric id of an image; an image that was not seen before gets the next one.
    pub fn number(&mut self, name: &str) -> u32 {
        let next = self.numbers.len() as u32;
        let number = *self.numbers.entry(name.to_owned()).or_insert(next);
        if number == next {
            self.names.push(name.to_owned());
        }
        number
    }

    /// Returns the cached images with their names; ids that were not assigned are left out.
    pub fn named(&self, cached: &[CachedImage]) -> Vec<NamedImage<'_>> {
        let named = |cached: &CachedImage| {
            let name = self.names.get(cached.image as usize)?;
            Some(NamedImage { name, size_gb: cached.size_gb })
        };
        cached.iter().filter_map(named).collect()
    }

    /// Returns the images of a registry record with their numeric ids.
    pub fn of_record(&mut self, images: &[ImageRecord]) -> Vec<CachedImage> {
        let mut cached = |image: &ImageRecord| CachedImage {
            image: self.number(&image.name),
            size_gb: image.size_gb,
        };
        images.iter().map(&mut cached).collect()
    }
}
