"""The faults that a step may bring to the world, each by its kind."""


def kill(machine, number, _other, _seed):
    """A host process dies; the last one is spared."""
    if number not in machine.fleet.hosts or len(machine.fleet.hosts) < 2:
        return False
    machine.kill(number, "host killed")
    return True


def restart(machine, number, _other, _seed):
    """A host process starts at its old address."""
    if number in machine.fleet.hosts:
        return False
    machine.fleet.start(number)
    return True


def freeze(machine, number, _other, _seed):
    """A host process stands still."""
    host = machine.running_host(number)
    if host is None:
        return False
    machine.tally.fault("host frozen")
    machine.fleet.freeze(host)
    return True


def resume(machine, number, _other, _seed):
    """A host process that stood still goes on."""
    host = machine.fleet.hosts.get(number)
    if host is None or not host.is_frozen:
        return False
    machine.fleet.resume(host)
    return True


def cut(machine, number, other, _seed):
    """Messages from one host to another are lost; not those the other way."""
    if number == other:
        return False
    machine.tally.fault("one-way cut")
    machine.fleet.link.cuts.add((f"h{number}", f"h{other}"))
    return True


def heal(machine, _number, _other, _seed):
    """All cuts end."""
    machine.fleet.link.cuts.clear()
    return True


def impair(machine, _number, _other, seed):
    """Messages are delayed, doubled, lost and overtaken from now on."""
    machine.tally.fault("disordered links")
    machine.fleet.link.impair(seed)
    return True


def restore(machine, _number, _other, _seed):
    """Messages arrive in order again."""
    machine.fleet.link.restore()
    return True


def store_fails(machine, number, other, _seed):
    """The store goes down, loses the answers of writes, or a replica lags."""
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
    """The store answers again, up to date."""
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
        cut,
        heal,
        impair,
        restore,
        store_fails,
        store_recovers,
    )
}
# Hosts come back as often as they go, so that most of the run has callers to serve.
FAULT_KINDS = (*FAULTS, "restart", "resume", "heal", "impair")
