"""Messages that tell a home why a grant that it issued is outdated."""

import functools

from hemlockhoist.base import UpstreamCold, UpstreamEvacuated, UpstreamLeft
from hemlockhoist.messages import ColdUpstream, EvacuatedDomain, LeftUpstream


@functools.singledispatch
def outdated_message(error):
    """Return the message that reports to a home why a grant is outdated."""
    raise TypeError(type(error).__name__)


@outdated_message.register
def _(error: UpstreamLeft):
    return LeftUpstream(upstream_id=error.upstream_id, version=error.version)


@outdated_message.register
def _(error: UpstreamEvacuated):
    return EvacuatedDomain(failure_domain=error.failure_domain, version=error.version)


@outdated_message.register
def _(error: UpstreamCold):
    return ColdUpstream(
        upstream_id=error.upstream_id, version=error.version, cold_ms=error.cold_ms
    )
