"""What a host may hear of upstreams and versions."""

from hemlockhoist.base import Property
from hemlockhoist.decisions.work import Upstream, UpstreamState
from hemlockhoist.messages.configuration import HaltedVersion

UPSTREAMS = 3


def leaving_reported(machine, host, number):
    """An upstream tells a host itself that it leaves."""
    machine.tally.fault("upstream leaves")
    host.upstreams.on_leaving(f"u{number}", machine.fleet.now_ms)


def leaving_listed(machine, _host, number):
    """The platform's list calls an upstream leaving; hosts read it later."""
    machine.tally.fault("upstream leaves, in the list only")
    machine.leaving_upstreams.add(number)


def list_is_read(machine, host, _number):
    """A host reads the list of upstreams."""
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
    """The list of upstreams comes back empty."""
    machine.tally.fault("upstream list empty")
    _take_bad_list(machine, host, [])


def list_is_unreachable(machine, host, _number):
    """The list of upstreams does not come at all."""
    machine.tally.fault("upstream list unreachable")
    _take_bad_list(machine, host, None)


def version_is_bad(machine, host, number):
    """A host sees that a version is bad, and halts it."""
    halted = HaltedVersion(pool="hall", move_id=f"m{number}", version="2")
    now_ms = machine.fleet.now_ms
    machine.fleet.send(host, host.configuration.halt(halted, now_ms))


def _take_bad_list(machine, host, listed):
    before = host.upstreams.assignable()
    host.upstreams.set_list(listed, machine.fleet.now_ms)
    kept = host.upstreams.assignable() == before
    machine.check(Property.LEAVING_UPSTREAM_NO_WORK, kept, "a bad list was taken")


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
