"""Rendezvous hashing: the same home from the same hosts, without any agreement."""

import math

import xxhash

# A host in the failure domain of all of a shard's upstreams is this much likelier to
# be its home than one in a domain without any: near enough to save a domain's 1.5 ms
# on most grants, and still spread when one domain holds most upstreams.
LOCALITY_WEIGHT = 8
_HASH_SPACE = 1 << 64
# Hosts of at least this part of the strongest one's processor may be home: among unlike
# machines some are several times as strong, and one that varies a little is as good.
HIGH_CAPACITY_FRACTION = 0.5


def rank_members(members, name, upstreams_by_domain=None):
    """Return the members by falling score for ``name``; the first is its home.

    When a member goes, only the names that it was home to move; when one comes, it
    takes its share and no other name moves.

    Parameters
    ==========
    members : iterable of Member
    name : str
    upstreams_by_domain : mapping of str to int, optional
        How many of the shard's upstreams each failure domain has.

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
    """Return the members that are about as strong as the strongest.

    Load: a fleet of 59 hosts, most of half a core and some of two, that sends 300
    requests a second and twice that in bursts. Harm prevented: a weak host is home; its
    processor and its link are full in each burst, and every request of the pool waits
    there. A host that has told nothing counts as the others do.

    Parameters
    ==========
    members : iterable of Member

    Returns
    =======
    list of Member
    """
    members = list(members)
    most = max((member.processor_millicores for member in members), default=0)
    return [
        member
        for member in members
        if HIGH_CAPACITY_FRACTION * most <= (member.processor_millicores or most)
    ]


def _score(address, name, weight):
    hashed = xxhash.xxh3_64_intdigest(f"{name}\n{address}".encode())
    uniform = (hashed + 0.5) / _HASH_SPACE
    return -weight / math.log(uniform)
