"""Events by which a host learns of changes of upstreams and versions."""

from hemlockhoist.base import Property
from hemlockhoist.decisions.work import Upstream, UpstreamState
from hemlockhoist.messages.configuration import HaltedVersion

UPSTREAMS = 3


def leaving_reported(machine, host, number):
    """An upstream reports directly to a host that it is leaving."""
    machine.tally.fault("upstream reports leaving")
    host.upstreams.on_leaving(f"u{number}", machine.fleet.now_ms)


def leaving_listed(machine, _host, number):
    """The platform lists an upstream as leaving; hosts read the list later."""
    machine.tally.fault("upstream listed as leaving")
    machine.leaving_upstreams.add(number)


def list_is_read(machine, host, _number):
    """A host reads the platform's list of upstreams."""
    states = {True: UpstreamState.LEAVING, False: UpstreamState.LIVE}
    upstreams = [
        Upstream(
            upstream_id=f"u{number}",
            pool="hall",
            version="1",
            address="",
            state=states[number in machine.leaving_upstreams],
        )
        for number in range(UPSTREAMS)
    ]
    host.upstreams.set_list(upstreams, machine.fleet.now_ms)


def list_is_empty(machine, host, _number):
    """A host reads an empty list of upstreams, which it must ignore."""
    machine.tally.fault("upstream list empty")
    _apply_bad_list(machine, host, [])


def list_is_unreachable(machine, host, _number):
    """A host can not read the list of upstreams."""
    machine.tally.fault("upstream list unreachable")
    _apply_bad_list(machine, host, None)


def version_is_bad(machine, host, number):
    """A host detects a bad version and halts its move."""
    halted = HaltedVersion(pool="hall", move_id=f"m{number}", version="2")
    now_ms = machine.fleet.now_ms
    machine.fleet.send(host, host.configuration.halt(halted, now_ms))


def _apply_bad_list(machine, host, listed):
    before = host.upstreams.assignable()
    host.upstreams.set_list(listed, machine.fleet.now_ms)
    kept = host.upstreams.assignable() == before
    machine.check(
        Property.LEAVING_UPSTREAM_NO_WORK, kept, "an empty or missing list was applied"
    )


UPSTREAM_EVENTS = {
    item.__name__: item
    for item in (
        leaving_reported,
        leaving_listed,
        list_is_read,
        list_is_empty,
        list_is_unreachable,
        version_is_bad,
    )
}
