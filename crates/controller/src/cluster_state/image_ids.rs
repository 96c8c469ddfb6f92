//! Numeric ids for image names.

use super::CachedImage;
use crate::records::ImageRecord;
use std::collections::HashMap;

/// A cached image, identified by its name instead of its numeric id.
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
pub(super) struct ImageIds {
    ids: HashMap<String, u32>,
    names: Vec<String>,
}

impl ImageIds {
    /// Returns the numeric id of an image; an image that was not seen before gets the next one.
    pub fn id_of(&mut self, name: &str) -> u32 {
        let next = self.ids.len() as u32;
        let id = *self.ids.entry(name.to_owned()).or_insert(next);
        if id == next {
            self.names.push(name.to_owned());
        }
        id
    }

    /// Returns the cached images with their names; ids that were not assigned are left out.
    pub fn with_names(&self, cached: &[CachedImage]) -> Vec<NamedImage<'_>> {
        let with_name = |cached: &CachedImage| {
            let name = self.names.get(cached.image as usize)?;
            Some(NamedImage { name, size_gb: cached.size_gb })
        };
        cached.iter().filter_map(with_name).collect()
    }

    /// Returns the images of a registry record with their numeric ids.
    pub fn with_ids(&mut self, images: &[ImageRecord]) -> Vec<CachedImage> {
        let mut cached = |image: &ImageRecord| CachedImage {
            image: self.id_of(&image.name),
            size_gb: image.size_gb,
        };
        images.iter().map(&mut cached).collect()
    }
}
