//! Numbers that stand for the names of images.

use super::CachedImage;
use crate::records::ImageRecord;
use std::collections::HashMap;

/// An image by its name.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct NamedImage<'a> {
    /// The image's name.
    pub name: &'a str,
    /// Its size, GB.
    pub size_gb: f64,
}

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

    /// Cached images with their names.
    pub fn named(&self, cached: &[CachedImage]) -> Vec<NamedImage<'_>> {
        let named = |cached: &CachedImage| {
            let name = self.names.get(cached.image as usize)?;
            Some(NamedImage { name, size_gb: cached.size_gb })
        };
        cached.iter().filter_map(named).collect()
    }

    /// The images of a record.
    pub fn of_record(&mut self, images: &[ImageRecord]) -> Vec<CachedImage> {
        let mut cached = |image: &ImageRecord| CachedImage {
            image: self.number(&image.name),
            size_gb: image.size_gb,
        };
        images.iter().map(&mut cached).collect()
    }
}
