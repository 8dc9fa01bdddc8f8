//! A list of endpoints divided into sections that are identified by a hash of their content, so
//! that little has to be transferred if one entry of a long list changes.
//!
//! A node that is behind sends the digests of its sections and receives the sections that
//! differ, in full. This does not depend on which lists the two nodes had before.

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::hash;
use woadstage_types::id;

use crate::edition::Era;
use crate::endpoint::Endpoint;
use crate::endpoint::List;
use crate::map::HashSet;

/// The number of sections of a list. A request with their digests takes 0.6 KB. The answer for
/// one changed entry takes 0.15 KB in a list of 166 and 1.3 KB in one of 3,100, where whole
/// lists take 4.8 and 90 KB (test `a_changed_entry_transfers_little`).
pub const COUNT: usize = 64;

/// A digest of a section: the hash of its entries, regardless of their order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(u64);

/// The digests of all sections of a list, in order; empty for no list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    digests: Vec<Digest>,
}

/// The entries of one section.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Section {
    /// The index of the section.
    pub number: u8,
    /// The endpoints in it.
    pub endpoints: Vec<Endpoint>,
}

/// A list without the sections that the receiver already has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The platform's era in which the list was read.
    #[serde(skip)]
    pub era: Era,
    /// The revision of the list.
    pub revision: u64,
    /// Whether the list is settled.
    pub settled: bool,
    /// All data centres that are evacuated; they are few, so they are always sent in full.
    pub evacuated: Vec<id::DataCentre>,
    /// The sections that differ, including those that became empty.
    pub sections: Vec<Section>,
}

/// The versions of the software of a list's endpoints, in the order of the endpoints.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SoftwareTable {
    versions: Vec<id::Software>,
    /// For each endpoint, the index of its version and 1; 0 if its version is not known.
    indices: Vec<u16>,
}

impl SoftwareTable {
    fn new<'a>(endpoints: impl Iterator<Item = &'a Endpoint>) -> SoftwareTable {
        let mut table = SoftwareTable::default();
        for endpoint in endpoints {
            let index = table.index(endpoint.software.as_ref());
            table.indices.push(index);
        }
        table
    }

    fn index(&mut self, software: Option<&id::Software>) -> u16 {
        let Some(software) = software else {
            return 0;
        };
        let known = self.versions.iter().position(|known| known == software);
        let position = known.unwrap_or_else(|| {
            self.versions.push(software.clone());
            self.versions.len() - 1
        });
        u16::try_from(position + 1).unwrap_or(0)
    }

    fn software_opt(&self, position: usize) -> Option<&id::Software> {
        let index = self.indices.get(position)?.checked_sub(1)?;
        self.versions.get(usize::from(index))
    }
}

impl Index {
    /// Computes the digests of all sections of a list.
    pub fn new(list: &List) -> Index {
        let mut digests = vec![Digest::default(); COUNT];
        for endpoint in &list.endpoints {
            let digest = &mut digests[usize::from(section_number(endpoint))];
            digest.0 = digest.0.wrapping_add(hash_endpoint(endpoint));
        }
        Index { digests }
    }

    /// Returns the digests without those of sections in which the version of an endpoint's software
    /// is not known, so that they are sent again.
    pub fn without_unknown_software(&self, list: &List) -> Index {
        let mut index = self.clone();
        let unknown = list.endpoints.iter();
        let unknown = unknown.filter(|endpoint| endpoint.software.is_none());
        for endpoint in unknown {
            let number = usize::from(section_number(endpoint));
            if let Some(digest) = index.digests.get_mut(number) {
                *digest = Digest::default();
            }
        }
        index
    }

    fn digest(&self, number: u8) -> Digest {
        let digest = self.digests.get(usize::from(number));
        digest.copied().unwrap_or_default()
    }
}

impl Difference {
    /// Returns the difference between a list and the sections `held` by another node.
    pub fn new(list: &List, index: &Index, held: &Index) -> Difference {
        let numbers = 0..COUNT as u8;
        let differing = numbers.filter(|number| index.digest(*number) != held.digest(*number));
        let mut sections: Vec<Section> = differing
            .map(|number| Section {
                number,
                endpoints: Vec::new(),
            })
            .collect();
        for endpoint in &list.endpoints {
            let number = section_number(endpoint);
            if let Ok(position) = sections.binary_search_by_key(&number, |section| section.number) {
                sections[position].endpoints.push(endpoint.clone());
            }
        }
        Difference {
            era: list.era,
            revision: list.revision,
            settled: list.settled,
            evacuated: list.evacuated.clone(),
            sections,
        }
    }

    /// Returns the versions of the software of its endpoints.
    pub fn to_software(&self) -> SoftwareTable {
        let sections = self.sections.iter();
        SoftwareTable::new(sections.flat_map(|section| &section.endpoints))
    }

    /// Sets the versions of the software of its endpoints.
    pub fn set_software(&mut self, table: &SoftwareTable) {
        let sections = self.sections.iter_mut();
        let endpoints = sections.flat_map(|section| &mut section.endpoints);
        for (position, endpoint) in endpoints.enumerate() {
            endpoint.software = table.software_opt(position).cloned();
        }
    }

    /// Returns the whole list, given the `base` from whose sections the difference was
    /// computed.
    pub fn into_list(self, base: &List) -> List {
        let given: HashSet<u8> = self.sections.iter().map(|section| section.number).collect();
        let kept = base.endpoints.iter();
        let kept = kept.filter(|endpoint| !given.contains(&section_number(endpoint)));
        let kept = kept.cloned();
        let given = self.sections.into_iter();
        let given = given.flat_map(|section| section.endpoints);
        List {
            era: self.era,
            revision: self.revision,
            settled: self.settled,
            evacuated: self.evacuated,
            endpoints: kept.chain(given).collect(),
        }
    }
}

/// Returns the section to which an endpoint belongs.
fn section_number(endpoint: &Endpoint) -> u8 {
    let name = endpoint.name.as_str();
    (hash::of(name.as_bytes()) % COUNT as u64) as u8
}

/// Hashes an entry as it is serialised. Serialising this type to memory does not fail; if it
/// did, the hash would cover the endpoint's name only.
fn hash_endpoint(endpoint: &Endpoint) -> u64 {
    let written = postcard::to_extend(endpoint, Vec::new());
    let bytes = written.unwrap_or_else(|_| endpoint.name.as_str().into());
    hash::of(&bytes)
}
