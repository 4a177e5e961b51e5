"""The faults that a step may inject into the simulated fleet, by name."""


def kill(machine, number, _other, _seed):
    """Kill a host process, unless it is the last one."""
    if number not in machine.fleet.hosts or len(machine.fleet.hosts) < 2:
        return False
    machine.kill(number, "host killed")
    return True


def restart(machine, number, _other, _seed):
    """Start a host process at its previous address."""
    if number in machine.fleet.hosts:
        return False
    machine.fleet.start(number)
    return True


def freeze(machine, number, _other, _seed):
    """Suspend a host process."""
    host = machine.running_host(number)
    if host is None:
        return False
    machine.tally.fault("host frozen")
    machine.fleet.freeze(host)
    return True


def resume(machine, number, _other, _seed):
    """Resume a suspended host process."""
    host = machine.fleet.hosts.get(number)
    if host is None or not host.is_frozen:
        return False
    machine.fleet.resume(host)
    return True


def cut_link(machine, number, other, _seed):
    """Drop messages from one host to another, in this direction only."""
    if number == other:
        return False
    machine.tally.fault("one-way cut")
    machine.fleet.link.cuts.add((f"h{number}", f"h{other}"))
    return True


def heal_links(machine, _number, _other, _seed):
    """End all cuts."""
    machine.fleet.link.cuts.clear()
    return True


def impair_links(machine, _number, _other, seed):
    """Delay, duplicate, drop and reorder messages from now on."""
    machine.tally.fault("impaired links")
    machine.fleet.link.impair(seed)
    return True


def restore_links(machine, _number, _other, _seed):
    """Deliver new messages immediately and in order again."""
    machine.fleet.link.restore()
    return True


def store_fails(machine, number, other, _seed):
    """Stop the store, lose its answers to writes, or make its reads stale."""
    store = machine.fleet.store
    if number == 0:
        machine.tally.fault("store outage")
        store.is_up = False
    elif number == 1:
        machine.tally.fault("store answers lost")
        store.loses_answers = True
    else:
        machine.tally.fault("store replica lags")
        store.serves_stale = True
    return True


def store_recovers(machine, _number, _other, _seed):
    """Let the store answer reads and writes with current data again."""
    store = machine.fleet.store
    store.is_up, store.loses_answers, store.serves_stale = True, False, False
    return True


FAULTS = {
    item.__name__: item
    for item in (
        kill,
        restart,
        freeze,
        resume,
        cut_link,
        heal_links,
        impair_links,
        restore_links,
        store_fails,
        store_recovers,
    )
}
# Restarts, resumptions and healed links are listed twice, so that hosts recover as
# often as they fail and callers are served during most of the run.
FAULT_KINDS = (*FAULTS, "restart", "resume", "heal_links", "impair_links")
