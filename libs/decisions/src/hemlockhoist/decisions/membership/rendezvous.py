"""Rendezvous hashing: hosts with the same view choose the same home."""

import math

import xxhash

# Additional weight of a host in the failure domain of all of a shard's upstreams, over
# a host in a domain without any: high enough to save the 1.5 ms between domains on most
# grants, and low enough to spread homes when one domain holds most upstreams.
LOCALITY_WEIGHT = 8
_HASH_SPACE = 1 << 64
# Hosts with at least this fraction of the largest processor capacity may be home:
# among heterogeneous machines some have several times the capacity of others, while
# small differences do not matter.
HIGH_CAPACITY_FRACTION = 0.5


def rank_members(members, name, upstreams_by_domain=None):
    """Return the members by descending score for ``name``; the first is its home.

    When a member is removed, only the names it was home to are reassigned; when one is
    added, it takes over its share and no other name is reassigned.

    Parameters
    ==========
    members : iterable of Member
    name : str
    upstreams_by_domain : mapping of str to int, optional
        Number of the shard's upstreams in each failure domain.

    Returns
    =======
    list of Member
    """
    domains = upstreams_by_domain or {}
    total = sum(domains.values())
    scored = []
    for member in members:
        share = domains.get(member.failure_domain, 0) / total if total else 0
        score = _score(member.address, name, 1 + LOCALITY_WEIGHT * share)
        scored.append((score, member.address, member))
    scored.sort(key=lambda item: item[:2], reverse=True)
    return [item[2] for item in scored]


def high_capacity_members(members):
    """Return the members with about as much processor capacity as the largest.

    In a fleet of 59 hosts, most with half a core and some with two, that sends 300
    requests per second and twice that in bursts, the processor and the link of a home
    with half a core are saturated in each burst, and every request of the pool waits
    there. A host that has not reported its capacity is included.

    Parameters
    ==========
    members : iterable of Member

    Returns
    =======
    list of Member
    """
    members = list(members)
    max_millicores = max((member.processor_millicores for member in members), default=0)
    return [
        member
        for member in members
        if HIGH_CAPACITY_FRACTION * max_millicores
        <= (member.processor_millicores or max_millicores)
    ]


def _score(address, name, weight):
    hashed = xxhash.xxh3_64_intdigest(f"{name}\n{address}".encode())
    uniform = (hashed + 0.5) / _HASH_SPACE
    return -weight / math.log(uniform)
