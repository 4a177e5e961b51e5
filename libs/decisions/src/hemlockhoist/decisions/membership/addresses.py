"""The answer to "which hosts shall I use"."""

import collections

from hemlockhoist.decisions.membership.records import AddressAnswer

MAX_ADDRESSES = 4
# Long enough that asking is no load (40,000 requests a second from callers that keep
# it), short enough that a leaving host is asked by nobody new after half a minute.
ANSWER_TTL_MS = 30_000


def choose_addresses(members, rng):
    """Return an ``AddressAnswer`` spread over failure domains.

    Domains are taken in turn, beginning at a random one, and a random host of each: so
    callers spread over hosts, and one domain's loss leaves a caller an address.

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
    return AddressAnswer(addresses=tuple(chosen), ttl_ms=ANSWER_TTL_MS)
