//! The owners of fleet-wide rates, which follow from the allocation tables in use; see
//! [`ownership`].

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use bluebellferry_membership::heartbeat;
use bluebellferry_shares::ownership;
use bluebellferry_types::limit;
use smallvec::SmallVec;

use crate::control::state;

/// The minimum allocation of a rate for a data centre to count as an owner of
/// the rate, as a fraction of an equal allocation. Smaller allocations are only remainders
/// that a lost data centre has left.
const MIN_OWNED_FRACTION: f64 = 0.5;

/// Who owns a rate according to the allocations in use, computed once for each
/// change of them.
#[derive(Debug, Clone, Default)]
pub(super) struct RateOwnership {
    /// This VM's allocation, as a fraction of the whole rate.
    own_fraction: f64,
    /// Whether this VM is an owner.
    is_own: bool,
    /// The other VMs of the data centre that own its allocation.
    other_owners: SmallVec<[String; ownership::MAX_OWNERS]>,
    /// Whether this VM's data centre owns enough of the rate to lend tokens.
    is_owned_in_own_centre: bool,
    /// The data centres that own enough of the rate to lend tokens.
    owning_centres: Vec<String>,
}

impl RateOwnership {
    /// Divides `floor` of the rate equally among all `vms` VMs, and the rest among its owners.
    fn add_floor(&mut self, floor: f64, vms: usize) {
        let owned = (1.0 - floor * vms as f64).max(0.0);
        self.own_fraction = floor + owned * self.own_fraction;
    }
}

impl state::ControlState {
    /// Returns the allocations of a rate to the data centres, or those of the other limits if no
    /// key is given.
    pub fn centre_allocations(&self, key: Option<&limit::LimitKey>) -> Vec<(&str, f64)> {
        let centres = GroupView::of_centres(self);
        let rate = key.map(|key| (key, self.rate_of(key)));
        let fractions = centres.centre_fractions(rate);
        let names = centres.members.iter().map(|member| member.name);
        names.zip(fractions).collect()
    }

    fn rate_of(&self, key: &limit::LimitKey) -> f64 {
        let size = self.fleet_limit(key);
        size.map_or(0.0, |size| size.rate_per_second)
    }

    /// Returns the allocation of a rate to this VM's data centre; in a full mesh, the whole rate.
    pub fn centre_rate_allocation(&self, key: &limit::LimitKey) -> f64 {
        if self.topology.is_full_mesh() {
            return 1.0;
        }
        let allocations = self.centre_allocations(Some(key));
        self.own_centre_fraction(allocations.into_iter())
    }

    fn own_centre_fraction<'a>(
        &self,
        mut centres: impl ExactSizeIterator<Item = (&'a str, f64)>,
    ) -> f64 {
        let equal = ownership::equal_fraction(centres.len());
        let own_centre = self.shared.settings.data_centre.as_str();
        let allocated = centres.find(|(name, _)| *name == own_centre);
        let allocated = allocated.map_or(0.0, |(_, fraction)| fraction);
        if self.is_isolated {
            allocated.min(equal)
        } else {
            allocated
        }
    }

    /// Returns the other VMs of this data centre that own a rate.
    pub fn owners_of(&self, key: &limit::LimitKey) -> &[String] {
        let ownership = self.rate_ownerships.get(key);
        ownership.map_or(&[], |ownership| &ownership.other_owners)
    }

    /// Returns whether this VM's data centre owns enough of a rate to lend tokens.
    pub fn is_owned_in_own_centre(&self, key: &limit::LimitKey) -> bool {
        let ownership = self.rate_ownerships.get(key);
        ownership.is_some_and(|ownership| ownership.is_owned_in_own_centre)
    }

    /// Returns the data centres that own enough of a rate to lend tokens.
    pub fn owning_centres(&self, key: &limit::LimitKey) -> &[String] {
        let ownership = self.rate_ownerships.get(key);
        ownership.map_or(&[], |ownership| &ownership.owning_centres)
    }

    /// Returns one of the VMs of another data centre that own a rate there if all
    /// VMs of that data centre are responsive. `turn` selects among them.
    pub fn probable_owner_in(
        &self,
        centre: &str,
        key: &limit::LimitKey,
        turn: usize,
    ) -> Option<String> {
        let counted = ownership::MemberStanding::Counted { since: 0 };
        let vms = self.topology.vms_of(centre);
        let members: Vec<_> = vms
            .iter()
            .map(|vm| ownership::GroupMember {
                name: vm,
                standing: counted,
            })
            .collect();
        let allocations = self.centre_allocations(Some(key));
        let fraction = allocations.iter().find(|(name, _)| *name == centre)?.1;
        let count = ownership::owner_count_of(key, self.rate_of(key) * fraction);
        let owners = ownership::RateOwners::choose(key, count, &members).owners;
        let owner = owners.get(turn % owners.len().max(1))?;
        Some(members[owner.member].name.to_owned())
    }

    /// Returns whether this VM owns enough of a rate to lend tokens.
    pub fn owns(&self, key: &limit::LimitKey) -> bool {
        let ownership = self.rate_ownerships.get(key);
        ownership.is_some_and(|ownership| ownership.is_own && ownership.is_owned_in_own_centre)
    }

    /// Returns this VM's allocation of a rate, as a fraction of the whole rate.
    pub fn own_rate_allocation(&self, key: &limit::LimitKey) -> f64 {
        if !self.has_owners() {
            let (names, allocations) = self.group_allocations();
            let index = names.iter().position(|name| *name == self.own_name());
            return index.map_or(0.0, |index| match key {
                limit::LimitKey::Workspace(workspace) => {
                    allocations.rate_allocation(index, workspace)
                }
                limit::LimitKey::Database(_) => allocations.allocation(index),
            });
        }
        let ownership = self.rate_ownerships.get(key);
        ownership.map_or(0.0, |ownership| ownership.own_fraction)
    }

    /// Computes what follows from the allocations, the configuration and the connection to the
    /// other VMs: this VM's allocation and the owners of all rates.
    pub(super) fn update_own_allocations(&mut self) {
        self.own_allocation = self.compute_own_allocation();
        let mut ownerships = BTreeMap::new();
        if self.has_owners() {
            let centres = GroupView::of_centres(self);
            let group = GroupView::of_table(&self.allocation_table);
            for (key, size) in self.fleet_limits() {
                let rate = (&key, size.rate_per_second);
                let mut ownership = self.ownership_of(rate, &centres, &group);
                let floor = ownership::floor_fraction(&key, size.burst, self.members.len());
                if self.allocation_table.number > 0 {
                    ownership.add_floor(floor, self.members.len());
                }
                ownerships.insert(key, ownership);
            }
        }
        self.rate_ownerships = ownerships;
        let owned = self.rate_ownerships.keys().filter(|key| self.owns(key));
        let status = &self.shared.fleet_status;
        status
            .owned_rates
            .store(owned.count() as u64, Ordering::Relaxed);
    }

    fn ownership_of(
        &self,
        (key, rate): (&limit::LimitKey, f64),
        centres: &GroupView<'_>,
        group: &GroupView<'_>,
    ) -> RateOwnership {
        if self.allocation_table.number == 0 {
            // Nobody lends before the first allocation.
            return RateOwnership {
                own_fraction: ownership::equal_fraction(self.members.len()),
                ..RateOwnership::default()
            };
        }
        let fractions = centres.centre_fractions(Some((key, rate)));
        let names = centres.members.iter().map(|member| member.name);
        let fractions: SmallVec<[(&str, f64); 8]> = names.zip(fractions).collect();
        let centre_fraction = self.own_centre_fraction(fractions.iter().copied());
        let min_owned = ownership::equal_fraction(fractions.len()) * MIN_OWNED_FRACTION;
        let count = ownership::owner_count_of(key, rate * centre_fraction);
        let owners = ownership::RateOwners::choose(key, count, &group.members);
        let own_name = self.own_name();
        let mut members = group.members.iter();
        let own_index = members.position(|member| member.name == own_name);
        let group_fraction = own_index.map_or(0.0, |index| owners.fraction_of(index));
        let group_fraction = if self.is_in_minority {
            group_fraction.min(ownership::equal_fraction(group.members.len()))
        } else {
            group_fraction
        };
        let owner_names = owners
            .owners
            .iter()
            .map(|owned| group.members[owned.member].name);
        let owning = fractions
            .iter()
            .filter(|(_, fraction)| *fraction >= min_owned);
        RateOwnership {
            own_fraction: centre_fraction * group_fraction,
            is_own: owner_names.clone().any(|name| name == own_name),
            other_owners: owner_names
                .filter(|name| *name != own_name)
                .map(str::to_owned)
                .collect(),
            is_owned_in_own_centre: centre_fraction >= min_owned,
            owning_centres: owning.map(|(centre, _)| (*centre).to_owned()).collect(),
        }
    }
}

/// The members of a group as its table of allocations lists them.
struct GroupView<'a> {
    members: Vec<ownership::GroupMember<'a>>,
    /// The members' fractions of the limits other than rates.
    fractions: Vec<f64>,
}

impl<'a> GroupView<'a> {
    fn of_table(table: &'a heartbeat::AllocationTable) -> Self {
        let mut view = Self {
            members: Vec::new(),
            fractions: Vec::new(),
        };
        for allocation in &table.allocations {
            view.members.push(ownership::GroupMember {
                name: &allocation.vm,
                standing: allocation.standing,
            });
            view.fractions.push(allocation.fraction);
        }
        view
    }

    /// Returns the data centres; before the first table, those of the listed VMs.
    fn of_centres(control: &'a state::ControlState) -> Self {
        if control.centre_allocation_table.number > 0 {
            return Self::of_table(&control.centre_allocation_table);
        }
        let centres = control.centre_sizes();
        let vm_count = control.members.len().max(1) as f64;
        let member = |name: &&'a str| ownership::GroupMember {
            name,
            standing: ownership::MemberStanding::Pending,
        };
        Self {
            members: centres.keys().map(member).collect(),
            fractions: centres
                .values()
                .map(|count| *count as f64 / vm_count)
                .collect(),
        }
    }

    /// Returns the fractions of a rate, or of the other limits if none is given.
    /// Small rates have a few data centres as owners once there is a table.
    fn centre_fractions(&self, rate: Option<(&limit::LimitKey, f64)>) -> Vec<f64> {
        let min_rate = ownership::MIN_CENTRE_RATE * self.members.len() as f64;
        let pending = ownership::MemberStanding::Pending;
        let has_table = self.members.iter().any(|member| member.standing != pending);
        let has_few_owners = |(key, rate): &(&limit::LimitKey, f64)| {
            has_table && (*rate < min_rate || key.workspace().is_none())
        };
        let Some((key, rate)) = rate.filter(has_few_owners) else {
            return self.fractions.clone();
        };
        let count = ownership::owner_count_of(key, rate);
        let owners = ownership::RateOwners::choose(key, count, &self.members);
        let indices = 0..self.members.len();
        indices.map(|index| owners.fraction_of(index)).collect()
    }
}
