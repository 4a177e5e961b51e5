"""Check that brittle replicas do not fall over more often than is tolerated."""

import msgspec

# From then on the hosts know that the replicas are brittle.
BINDING_AFTER_S = 3.0
ALLOWED_FALLS = 2
ALLOWED_SHARE = 0.1


class BrittleSpan(msgspec.Struct, frozen=True):
    """A time in which a service's replicas said that they are brittle.

    Parameters
    ==========
    replicas : tuple of Replica
    from_s, until_s : float
    """

    replicas: tuple
    from_s: float
    until_s: float


def find_fall_violations(spans):
    """Return the times in which replicas fell over too often.

    Parameters
    ==========
    spans : iterable of BrittleSpan

    Returns
    =======
    list of str
    """
    violations = []
    for span in spans:
        begin_s = span.from_s + BINDING_AFTER_S
        count = sum(
            begin_s <= fall_s < span.until_s
            for replica in span.replicas
            for fall_s in replica.falls
        )
        if count > ALLOWED_FALLS + ALLOWED_SHARE * len(span.replicas):
            violations.append(
                f"{len(span.replicas)} brittle replicas fell over {count} times from "
                f"{begin_s:.3f} to {span.until_s:.3f} s"
            )
    return violations
