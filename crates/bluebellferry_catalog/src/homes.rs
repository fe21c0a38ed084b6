//! The regions within which the requests of a route or workspace must stay.

use smallvec::SmallVec;

/// The home regions of a route, of a workspace, or of a request to which both apply.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum HomeRegions {
    /// Databases in any region may run the request.
    #[default]
    Anywhere,
    /// Only databases in these regions may run the request; no database if there are none.
    Within(SmallVec<[String; 2]>),
}

impl HomeRegions {
    /// Returns the homes that a list of regions in the configuration stands for: an empty list
    /// sets no limit.
    pub fn from_list(regions: impl IntoIterator<Item = String>) -> Self {
        let regions: SmallVec<[String; 2]> = regions.into_iter().collect();
        if regions.is_empty() {
            Self::Anywhere
        } else {
            Self::Within(regions)
        }
    }

    /// Returns whether databases in a region may run the request. A region of `None` is unknown
    /// and only allowed where any region is.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Within(regions) => regions.iter().any(|home| Some(home.as_str()) == region),
        }
    }

    /// Returns the regions that both lists of homes allow.
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Anywhere, homes) | (homes, Self::Anywhere) => homes.clone(),
            (Self::Within(own), Self::Within(others)) => {
                let common = own.iter().filter(|region| others.contains(region));
                Self::Within(common.cloned().collect())
            }
        }
    }

    /// Returns whether no region is allowed.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Within(regions) if regions.is_empty())
    }
}
