//! A list of endpoints in sections, each named by its content, so that one
//! changed entry of a long list costs little to pass on.
//!
//! A node that is behind names the sections that it has, and is given the others
//! whole. Nothing depends on which lists both have had before.

use std::collections::HashSet;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::hash;
use woadstage_types::id;

use crate::edition::Era;
use crate::endpoint::Endpoint;
use crate::endpoint::List;

/// Sections of a list. A question that names them takes 0.6 KB. One changed entry
/// of 166 is then answered with 0.15 KB, and one of 3,100 with 1.3 KB; whole lists
/// take 4.8 and 90 KB (test `a_changed_entry_costs_little`).
pub const COUNT: usize = 64;

/// The name of a section: the hash of its entries, in whichever order they are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(u64);

/// The names of all sections of a list, in order; nothing for no list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    digests: Vec<Digest>,
}

/// The entries of one section.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Section {
    /// Its place among the sections.
    pub number: u8,
    /// Its endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// A list without the sections that a node has already.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The platform's era in which the list was read.
    #[serde(skip)]
    pub era: Era,
    /// The revision of the list.
    pub revision: u64,
    /// Whether the list is settled.
    pub settled: bool,
    /// Data centres that are evacuated: all of them, as they are few.
    pub evacuated: Vec<id::DataCentre>,
    /// The sections that differ, empty ones among them.
    pub sections: Vec<Section>,
}

impl Index {
    /// Reads the whole list once.
    pub fn new(list: &List) -> Index {
        let mut digests = vec![Digest::default(); COUNT];
        for endpoint in &list.endpoints {
            let digest = &mut digests[usize::from(section_number(endpoint))];
            digest.0 = digest.0.wrapping_add(hash_endpoint(endpoint));
        }
        Index { digests }
    }

    fn digest(&self, number: u8) -> Digest {
        let digest = self.digests.get(usize::from(number));
        digest.copied().unwrap_or_default()
    }
}

impl Difference {
    /// What a node lacks of a list which has the sections that are `held`.
    pub fn new(list: &List, index: &Index, held: &Index) -> Difference {
        let numbers = 0..COUNT as u8;
        let differ = numbers.filter(|number| index.digest(*number) != held.digest(*number));
        let mut sections: Vec<Section> = differ
            .map(|number| Section {
                number,
                endpoints: Vec::new(),
            })
            .collect();
        for endpoint in &list.endpoints {
            let number = section_number(endpoint);
            if let Ok(at) = sections.binary_search_by_key(&number, |section| section.number) {
                sections[at].endpoints.push(endpoint.clone());
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

    /// The whole list, where `base` is the one whose sections were named.
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

/// The section to which an endpoint belongs.
fn section_number(endpoint: &Endpoint) -> u8 {
    let name = endpoint.name.as_str();
    (hash::of(name.as_bytes()) % COUNT as u64) as u8
}

/// Hashes an entry as it goes on the wire. Writing to memory does not fail for
/// this type; were it to, the entry would count as one that says nothing else
/// than its name.
fn hash_endpoint(endpoint: &Endpoint) -> u64 {
    let written = postcard::to_extend(endpoint, Vec::new());
    let bytes = written.unwrap_or_else(|_| endpoint.name.as_str().into());
    hash::of(&bytes)
}
