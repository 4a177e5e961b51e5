"""Selection of host addresses to return to callers."""

import collections

from hemlockhoist.decisions.membership.records import AddressAnswer

MAX_ADDRESSES = 4
# Long enough that address requests cause no load, even with callers that send 40,000
# requests per second, as these cache the answer; short enough that a leaving host gets
# no requests from new callers after half a minute.
ADDRESS_TTL_MS = 30_000


def choose_addresses(members, rng):
    """Return an ``AddressAnswer`` with hosts of different failure domains.

    Domains are used in turn in random order, with a random host of each. This spreads
    callers over the hosts, and the loss of one domain leaves a caller an address.

    Parameters
    ==========
    members : iterable of Member
        Live hosts that are not leaving.
    rng : random.Random
    """
    by_domain = collections.defaultdict(list)
    for member in members:
        by_domain[member.failure_domain].append(member)
    domains = sorted(by_domain)
    for domain in domains:
        rng.shuffle(by_domain[domain])
    rng.shuffle(domains)
    chosen = []
    while domains and len(chosen) < MAX_ADDRESSES:
        domain = domains.pop(0)
        chosen.append(by_domain[domain].pop().caller_address)
        if by_domain[domain]:
            domains.append(domain)
    return AddressAnswer(addresses=tuple(chosen), ttl_ms=ADDRESS_TTL_MS)
