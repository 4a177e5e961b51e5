"""Which hosts read the store, and pass its rows on to the others."""

from hemlockhoist.decisions.membership import high_capacity_members, rank_members

# Up to this many hosts each read the store themselves. A host's feeds are some calls a
# minute; at twelve hosts they cost less than what passing rows on would add in time.
MAX_DIRECT_READERS = 12
READER_RANK = "store readers"


def find_readers(members):
    """Return the hosts that read the store: the first of each failure domain.

    Load: each change of the store wakes every host that waits for it, and each host's
    waiting calls are renewed all the time. 59 hosts made 6,042 calls in a minute in
    which nothing went wrong. One reader in each failure domain keeps what it passes on
    inside it, and the loss of one domain leaves the others theirs.

    Parameters
    ==========
    members : sequence of Member
        That are not gone.

    Returns
    =======
    dict
        Of failure domain to ``Member``; empty where all hosts read for themselves.
    """
    members = list(members)
    if len(members) <= MAX_DIRECT_READERS:
        return {}
    readers = {}
    for member in rank_members(high_capacity_members(members), READER_RANK):
        readers.setdefault(member.failure_domain, member)
    return readers


def reader_for(members, own, avoid=frozenset()):
    """Return the host that reads the store for a host, or None for itself.

    Parameters
    ==========
    members : sequence of Member
    own : Member
    avoid : collection of str, optional
        Addresses of readers that have failed lately; another domain's is asked then.
    """
    readers = find_readers(members)
    if not readers or own in readers.values():
        return None
    well = {
        domain: member
        for domain, member in readers.items()
        if member.address not in avoid
    }
    if not well:
        return None
    near = well.get(own.failure_domain)
    return near or rank_members(well.values(), own.address)[0]
