"""Which hosts a caller is told of."""


def nearby_members(members, regions_by_domain, caller_region, allowed):
    """Return the members that a caller should use.

    Harm prevented: a body goes through a region where it may not be kept, because the
    caller was told of a host there. Those of the caller's own region come first, then
    those of the regions that its routes allow; where neither has a host, any.

    Parameters
    ==========
    members : sequence of Member
    regions_by_domain : mapping of str to str
    caller_region : str
        Empty where it does not say.
    allowed : collection of str
        Regions; empty for anywhere.

    Returns
    =======
    list of Member
        In the order in which they came.
    """

    def within(regions):
        return [
            item
            for item in members
            if regions_by_domain.get(item.failure_domain) in regions
        ]

    return within({caller_region}) or within(set(allowed)) or list(members)
