"""Selection of the hosts that are advertised to a caller."""


def nearby_members(members, regions_by_domain, caller_region, allowed):
    """Return the members that a caller should use.

    These are the members in the caller's own region; if there are none, those in the
    regions that its routes allow; if there are none either, all members. A host in
    another region would make request bodies pass through a region where they must not
    be kept.

    Parameters
    ==========
    members : sequence of Member
    regions_by_domain : mapping of str to str
    caller_region : str
        Empty if the caller does not specify one.
    allowed : collection of str
        Allowed regions; empty if all are.

    Returns
    =======
    list of Member
        In the order of ``members``.
    """

    def within(regions):
        return [
            item
            for item in members
            if regions_by_domain.get(item.failure_domain) in regions
        ]

    return within({caller_region}) or within(set(allowed)) or list(members)
