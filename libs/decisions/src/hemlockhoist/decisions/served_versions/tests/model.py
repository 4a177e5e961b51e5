"""Model of a pool's versions, of the hosts that serve it and of what is stored.

It plays all successions of events up to a number and looks at each state whether a bad
version gets requests without a bound, and whether requests are refused while a version
is live against which nothing speaks. States that differ in names or times only count
once. The decisions are those of this package; requests and answers are left out: a
trial ends with the verdict that its version deserves, at any moment or never.
"""

import collections

import msgspec

from hemlockhoist.decisions.entry import MoveOrder
from hemlockhoist.decisions.served_versions import (
    PoolPresence,
    VersionRoles,
    accepted_row,
    settled_row,
)
from hemlockhoist.decisions.versions import (
    MoveState,
    OwnVerdict,
    Standing,
    finish_move,
    replace_versions,
    roll_back_move,
)

POOL = "halls"
SERVING = "v1"
# Times are counted in orders' durations.
ORDER_MS = 1_000
_NONE = frozenset()


class State(msgspec.Struct, frozen=True, kw_only=True):
    """The pool, its hosts and the store at one moment.

    Parameters
    ==========
    alive, listed : frozenset of str
        Versions with upstreams, and with entries of them.
    older, entered_before : frozenset of str
        Versions that hosts know to be older than the latest order, and those whose
        entries are.
    missing, gone : frozenset of str
        Versions that hosts miss, and that they know to be gone.
    is_settled : bool
        Whether the store has answered for a while.
    is_store_up : bool
    order : MoveOrder or None
    stored, announced, held : Move or None
        Row in the store, the one before it, and the home's.
    is_known : bool
        Whether the home has read the row, or heard of it.
    late : Move or None
        Row of a write whose answer was lost, and which may yet be carried out.
    loses_answer : bool
        Whether the next write's answer is lost.
    found_bad : frozenset of str
        Versions that a trial has shown to be bad.
    superseded : frozenset of str
        Versions whose order was replaced before hosts knew of its row.
    forgotten : frozenset of str
        Those of them that nobody knows any more, as all hosts were killed.
    now_ms : int
    """

    alive: frozenset = frozenset({SERVING})
    listed: frozenset = frozenset({SERVING})
    older: frozenset = frozenset({SERVING})
    entered_before: frozenset = frozenset({SERVING})
    missing: frozenset = _NONE
    gone: frozenset = _NONE
    is_settled: bool = True
    is_store_up: bool = True
    order: MoveOrder | None = None
    stored: object = None
    announced: object = None
    held: object = None
    is_known: bool = True
    late: object = None
    loses_answer: bool = False
    found_bad: frozenset = _NONE
    superseded: frozenset = _NONE
    forgotten: frozenset = _NONE
    now_ms: int = 0

    def change(self, **fields):
        """Return the state with other values of some fields."""
        return msgspec.structs.replace(self, **fields)

    def presence(self):
        """Return the ``PoolPresence`` that hosts have."""
        listed_versions = {
            item: 0 if item in self.older else 1 << 30 for item in self.listed
        }
        return PoolPresence(
            deployed=collections.Counter(self.listed),
            live=self.listed,
            missing=self.missing,
            gone=self.gone,
            is_settled=self.is_settled,
            listed_versions=listed_versions,
        )

    def roles(self):
        """Return the ``VersionRoles`` at the home."""
        return VersionRoles(
            self.held, self.order, self.presence(), self.superseded_orders()
        )

    def superseded_orders(self):
        """Return the superseded versions with the ids of some orders."""
        return dict.fromkeys(self.superseded, "superseded")

    def key(self):
        """Return what distinguishes the state from others."""
        rows = tuple(map(self._row_key, (self.stored, self.announced, self.held)))
        order = None if self.order is None else self.order.to_version
        return (
            self.alive,
            self.listed,
            self.older,
            self.entered_before,
            self.missing,
            self.gone,
            self.is_settled,
            self.is_store_up,
            order,
            rows,
            self._row_key(self.late),
            self.is_known,
            self.loses_answer,
            self.found_bad,
            self.superseded,
            self.forgotten,
        )

    def _row_key(self, row):
        if row is None:
            return None
        is_latest = self.order is not None and row.move_id == self.order.order_id
        is_past = row.state is MoveState.RUNNING and row.moved_by_unix_ms <= self.now_ms
        standings = tuple(
            sorted((x.version, x.standing.value, x.is_gone) for x in row.standings)
        )
        versions = (row.from_version, row.to_version)
        return (*versions, row.state.value, is_latest, is_past, standings)


class VersionModel:
    """The events of a pool with some versions, of which some are bad.

    Parameters
    ==========
    versions, bad : sequence of str
    """

    def __init__(self, versions, bad):
        self._versions = versions
        self._bad = frozenset(bad)

    # What callers see.

    def full(self, state):
        """Return the live versions that get requests without a bound."""
        if not state.is_known:
            return _NONE
        roles = state.roles()
        if roles.can_serve():
            found = roles.serving()
        else:
            found = roles.replaced()
        return frozenset(found) & state.listed

    def alone(self, state):
        """Return the live versions that are tried, as no other can serve."""
        if not state.is_known:
            return _NONE
        return (frozenset(state.roles().alone()) - state.found_bad) & state.listed

    def bounded(self, state):
        """Return the live versions that get requests within the bound of a trial."""
        if not state.is_known:
            return _NONE
        trial = {state.roles().trial_version} - {None}
        return self.alone(state) | (trial - state.found_bad) & state.listed

    def fault(self, state, has_acted):
        """Return what is wrong in a state, or None.

        Requests may wait until the home has acted on what has just happened.
        """
        full, bad = self.full(state), self._bad - state.forgotten
        if full & bad:
            return f"{sorted(full & bad)} gets requests without a bound"
        row = state.stored
        is_finished = row is not None and row.state is MoveState.FINISHED
        if is_finished and row.to_version in bad:
            return f"{row.to_version} is completed"
        if not has_acted or not state.is_settled or not state.is_store_up:
            return None
        idle = (state.listed & state.alive) - state.found_bad
        if idle and not full and not self.alone(state):
            return f"requests are refused beside {sorted(idle)}"
        return None

    # Events.

    def events(self, state):
        """Return pairs of a name and the state after an event that may come next."""
        return [
            *self._orders(state),
            *self._upstreams(state),
            *self._outages(state),
            *self._hosts(state),
            *self._verdicts(state),
        ]

    def _orders(self, state):
        if not state.is_store_up:
            return
        for version in self._versions:
            number = 1 if state.order is None else state.order.store_version + 1
            order = MoveOrder(
                order_id=f"{POOL}@{number}",
                pool=POOL,
                to_version=version,
                duration_ms=ORDER_MS,
                store_version=number,
            )
            later = state.change(
                order=order,
                older=state.listed,
                entered_before=state.listed,
                superseded=self._superseded(state),
            )
            yield f"order {version}", later
            if version not in state.alive:
                yield f"order {version} and its upstreams", _enter(later, version)
        if state.order is not None:
            yield (
                "the time of the order passes",
                state.change(now_ms=state.now_ms + ORDER_MS),
            )

    def _superseded(self, state):
        """Return the superseded versions as another order is given."""
        order = state.order
        if order is None or order.to_version in state.older:
            return state.superseded
        return state.superseded | {order.to_version}

    def _upstreams(self, state):
        if not state.is_store_up:
            return
        for version in self._versions:
            if version not in state.alive:
                is_ordered = state.order is not None and (
                    state.order.to_version == version
                )
                # A bad version comes by an order only, or as its upstreams are back.
                if version not in self._bad or is_ordered or version in state.gone:
                    yield f"release of {version}", _enter(state, version)
                continue
            yield f"{version} crashes", _lose(state, version)
            yield f"{version} leaves", _leave(state, version)

    def _outages(self, state):
        if state.is_store_up:
            yield "an outage begins", state.change(is_store_up=False, is_settled=False)
            for version in sorted(state.alive - state.listed):
                yield f"the entries of {version} are back", _enter(state, version)
            if not state.is_settled and not state.alive - state.listed:
                yield "the list is settled", _settle(state)
        else:
            lapsed = state.change(
                is_store_up=True,
                listed=_NONE,
                missing=state.missing | state.listed,
            )
            yield "the outage ends, and entries have expired", lapsed
            yield "the outage ends", state.change(is_store_up=True)

    def _hosts(self, state):
        forgotten = state.change(
            held=None,
            is_known=state.order is None,
            older=state.entered_before & state.listed,
            missing=_NONE,
            gone=_NONE,
            is_settled=False,
            superseded=_NONE,
            forgotten=state.forgotten | state.superseded,
        )
        yield "all hosts are killed", forgotten
        yield "another host is home", state.change(held=state.announced)
        if not state.loses_answer and state.is_store_up:
            yield "an answer is lost", state.change(loses_answer=True)
        if state.late is not None and state.is_store_up:
            yield (
                "a late write is carried out",
                state.change(announced=state.stored, stored=state.late, late=None),
            )

    def _verdicts(self, state):
        if not state.is_store_up or state.held != state.stored:
            return
        for version in sorted(self.bounded(state)):
            if version in self._bad:
                found = state.change(found_bad=state.found_bad | {version})
                yield (
                    f"{version} is found bad",
                    self._decide(found, version, OwnVerdict.BAD),
                )
            else:
                yield (
                    f"{version} is proven",
                    self._decide(state, version, OwnVerdict.PROVEN),
                )

    def _decide(self, state, version, verdict):
        roles, row = state.roles(), state.held
        if row is None or not roles.is_tried(version):
            return self._settled(state, {version: verdict})
        if roles.is_pending:
            return state
        if verdict is OwnVerdict.BAD:
            return _write(state, roll_back_move(row, row.move_id, "bad", "home"))
        row = finish_move(row, row.move_id, "proven", "home", row.fencing, state.now_ms)
        roles = state.change(held=row).roles()
        others = [x for x in roles.serving() if x != row.to_version]
        return _write(state, replace_versions(row, others))

    # What the home does between two events.

    def tick(self, state):
        """Return the state after the home has read and written what is due."""
        if not state.is_store_up:
            return state
        state = state.change(held=state.stored, is_known=True)
        if state.order is not None:
            row = accepted_row(
                state.stored,
                state.order,
                state.presence(),
                state.now_ms,
                ORDER_MS,
                state.superseded_orders(),
            )
            if row is not None and row != state.stored:
                state = _write(state, row)
        return self._settled(state, {})

    def _settled(self, state, verdicts):
        if state.held is None:
            return state
        row = settled_row(state.held, state.presence(), verdicts, state.now_ms)
        return state if row == state.held else _write(state, row)

    def search(self, depth):
        """Play all successions of up to ``depth`` events.

        Returns
        =======
        tuple of int and list
            The number of states, and for each kind of fault the shortest succession.
        """
        begin = State()
        seen = {(True, begin.key())}
        level = [((), begin)]
        faults = {}
        for _ in range(depth):
            later = []
            for names, state in level:
                for name, changed in self.events(state):
                    path = (*names, name)
                    for reached in (changed, self.tick(changed)):
                        has_acted = reached is not changed
                        key = (has_acted, reached.key())
                        if key in seen:
                            continue
                        seen.add(key)
                        later.append((path, reached))
                        found = self.fault(reached, has_acted)
                        if found is not None:
                            faults.setdefault(found, path)
            level = later
        return len(seen), faults


def _enter(state, version):
    return state.change(
        alive=state.alive | {version},
        listed=state.listed | {version},
        missing=state.missing - {version},
        gone=state.gone - {version},
        older=state.older if version in state.missing else state.older - {version},
        entered_before=state.entered_before - {version},
    )


def _lose(state, version):
    """Have the upstreams of a version crash; their entries lapse, and it is gone later."""
    is_missed = version in state.listed
    state = state.change(
        alive=state.alive - {version},
        listed=state.listed - {version},
        missing=state.missing | ({version} if is_missed else _NONE),
    )
    return _settle(state) if state.is_settled else state


def _leave(state, version):
    """Have the upstreams of a version announce that they leave."""
    if version not in state.listed:
        return _lose(state, version)
    return state.change(
        alive=state.alive - {version},
        listed=state.listed - {version},
        gone=state.gone | {version},
    )


def _settle(state):
    """Have the store answer for so long that what is not listed is gone."""
    return state.change(is_settled=True, gone=state.gone | state.missing, missing=_NONE)


def _write(state, row):
    """Write a row, whose answer may be lost."""
    if state.loses_answer:
        # The home reads the old row again, and goes on with that.
        return state.change(late=row, loses_answer=False)
    # What is tried anew was not found bad.
    tried = {x.version for x in row.standings if x.standing is Standing.UNPROVEN}
    if row.state is MoveState.RUNNING:
        tried.add(row.to_version)
    # A host that is home next may know the row before this one only.
    told = _told(row) & _told(state.stored)
    return state.change(
        announced=state.stored,
        stored=row,
        held=row,
        late=None,
        superseded=state.superseded - told,
        found_bad=state.found_bad - tried,
    )


def _told(row):
    """Return the versions of which a row tells."""
    if row is None:
        return _NONE
    return frozenset({row.to_version} | {item.version for item in row.standings})
