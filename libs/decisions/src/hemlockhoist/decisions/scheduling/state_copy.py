"""Copies of decision state, on which a decision is tried without any effect."""

import array
import collections
import copy
import enum
import functools
import types

import msgspec
from sortedcontainers import SortedList

from hemlockhoist.base import InvariantLog, Refused, ResultCode
from hemlockhoist.decisions.limits import QuotaTracker
from hemlockhoist.decisions.scheduling.prefixes import PrefixMap
from hemlockhoist.decisions.scheduling.prompt_cache import PromptCache
from hemlockhoist.decisions.scheduling.retry_reservations import RetryReservations

# Bound on the copied objects, which bounds the time for which a home does nothing else.
# An object took 7 us on a loaded machine, 8,000 took 60 ms. An upstream has 16 objects
# with its 4 grants, and a waiting request 4.
MAX_OBJECTS = 8_000
_COPIED_PACKAGE = "hemlockhoist.decisions."
# Values that never change, and functions, which hold no decision state of their own.
_SHARED_TYPES = (
    type(None),
    bool,
    int,
    float,
    str,
    bytes,
    range,
    frozenset,
    enum.Enum,
    type,
    types.FunctionType,
    types.BuiltinFunctionType,
)

# Most values are numbers and texts, which the loops over containers pass over.
_PLAIN_TYPES = frozenset({type(None), bool, int, float, str, bytes})


class StateTooLarge(Refused):
    """The state has more objects than may be copied at once."""

    code = ResultCode.QUERY_TOO_COSTLY


class StateCopy:
    """One copy of a graph of objects with decision state.

    A scheduler, its queue, upstreams and version policy refer to each other, and
    decisions change many of them. On a copy, the same code decides as on the original,
    and the original keeps its state. The prompt caches, by far the largest part, are
    copied only as far as the decision changes them. Records that cannot change are
    shared.

    Parameters
    ==========
    copied_types : tuple of type, optional
        Types outside of the decisions library whose objects are copied too.
    max_objects : int, optional
        Bound on the copied objects, containers included.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.overtaking_budget import (
    ...     OvertakingBudget)
    >>> budget = OvertakingBudget()
    >>> tried = StateCopy().of(budget)
    >>> tried.charge(100.0)
    >>> tried._budget_ms, budget._budget_ms
    (-100.0, 0.0)
    """

    __slots__ = ("_by_id", "_copied_types", "_functions", "_max_objects")

    def __init__(self, copied_types=(), max_objects=MAX_OBJECTS):
        self._copied_types = copied_types
        self._max_objects = max_objects
        # The copy of each object, with the original, which keeps its id in use.
        self._by_id = {}
        self._functions = {}

    def of(self, value):
        """Return the copy of a value, the same one each time for the same object.

        Raises
        ======
        TypeError
            For an object that may have state and that there is no rule for: if it were
            shared, trying a decision could change it.
        StateTooLarge
        """
        kind = type(value)
        function = self._functions.get(kind)
        if function is None:
            function = self._functions[kind] = _copied.dispatch(kind)
        if function is _shared:
            return value
        found = self._by_id.get(id(value))
        return function(value, self) if found is None else found[0]

    def into(self, kind, value):
        """Return the copy of an object as an instance of a subclass of its class.

        The subclass must not have attributes of its own.
        """
        return self._copy_attributes(value, object.__new__(kind))

    def remember(self, value, copied):
        """Record the copy of an object, before those it refers to are copied."""
        self._by_id[id(value)] = (copied, value)
        if len(self._by_id) > self._max_objects:
            raise StateTooLarge(
                f"the pool's upstreams, waiting requests, grants, reservations and "
                f"customers have more than {self._max_objects} objects to copy"
            )

    @property
    def object_count(self):
        """Number of objects copied so far."""
        return len(self._by_id)

    def is_copied(self, kind):
        """Return whether objects of a class are copied attribute by attribute."""
        return kind.__module__.startswith(_COPIED_PACKAGE) or issubclass(
            kind, self._copied_types
        )

    def copy_object(self, value):
        """Return the copy of an object with all its attributes."""
        return self._copy_attributes(value, object.__new__(type(value)))

    def _copy_attributes(self, value, copied):
        self.remember(value, copied)
        for name in _slot_names(type(value)):
            try:
                attribute = getattr(value, name)
            except AttributeError:
                continue
            if type(attribute) not in _PLAIN_TYPES:
                attribute = self.of(attribute)
            setattr(copied, name, attribute)
        if hasattr(value, "__dict__"):
            for name, attribute in vars(value).items():
                setattr(copied, name, self.of(attribute))
        return copied


class _UncountedInvariants(InvariantLog):
    """Invariants of a decision that is only tried: neither counted nor reported."""

    __slots__ = ()

    def check(self, prop, holds, detail):
        """Do nothing."""


class _PromptCacheCopy(PromptCache):
    """A copy of a prompt cache, with own records of the upstreams that change."""

    __slots__ = ("_original",)

    def __init__(self, original):
        super().__init__(original._capacity)
        self._original = original

    def record(self, upstream_id, hashes, tokens):
        """Record that a prompt is sent to an upstream."""
        blocks = self._original._blocks.get(upstream_id)
        if blocks is not None and upstream_id not in self._blocks:
            self._blocks[upstream_id] = blocks.copy()
            self._tokens[upstream_id] = self._original._tokens[upstream_id]
            for block in blocks:
                self._holders.setdefault(block, set()).add(upstream_id)
        super().record(upstream_id, hashes, tokens)

    def cached_tokens(self, hashes, tokens):
        """Return how many leading tokens of a prompt each upstream has cached."""
        found = self._original.cached_tokens(hashes, tokens)
        for upstream_id in self._blocks:
            found.pop(upstream_id, None)
        return found | super().cached_tokens(hashes, tokens)


class _PrefixMapCopy(PrefixMap):
    """A copy of a map of prefix blocks that shares the blocks until they change."""

    __slots__ = ("_is_shared",)

    def __init__(self, original):
        self._blocks = original._blocks
        self._max_blocks = original._max_blocks
        self._is_shared = True

    def add(self, prefix_hashes):
        """Add the blocks of a prompt that is computed."""
        self._end_sharing()
        super().add(prefix_hashes)

    def observe(self, expected_blocks, found_blocks):
        """Adapt the capacity to the number of blocks that the engine found cached."""
        self._end_sharing()
        super().observe(expected_blocks, found_blocks)

    def _end_sharing(self):
        if self._is_shared:
            self._blocks = self._blocks.copy()
            self._is_shared = False


class _UsageCopies:
    """The usage of customers by name, each copied when it is first read.

    A request concerns one customer of perhaps thousands. Only ``get`` is supported, so
    that reading the usage in another way is an error instead of finding none.
    """

    __slots__ = ("_original", "_state_copy")

    def __init__(self, original, state_copy):
        self._original = original
        self._state_copy = state_copy

    def get(self, customer):
        """Return the copied usage of a customer, or None."""
        return self._state_copy.of(self._original.get(customer))


@functools.cache
def _slot_names(kind):
    names = []
    for base in kind.__mro__:
        slots = base.__dict__.get("__slots__", ())
        names += (slots,) if isinstance(slots, str) else slots
    return tuple(name for name in names if not name.startswith("__"))


@functools.singledispatch
def _copied(value, state_copy):
    """Return the copy of a value."""
    kind = type(value)
    if not state_copy.is_copied(kind):
        raise TypeError(f"no rule for a copy of {kind.__module__}.{kind.__name__}")
    return state_copy.copy_object(value)


def _shared(value, state_copy):
    return value


for _type in _SHARED_TYPES:
    _copied.register(_type, _shared)


@_copied.register
def _(value: msgspec.Struct, state_copy):
    if type(value).__struct_config__.frozen:
        return value
    copied = copy.copy(value)
    state_copy.remember(value, copied)
    for name in value.__struct_fields__:
        setattr(copied, name, state_copy.of(getattr(value, name)))
    return copied


@_copied.register
def _(value: types.MethodType, state_copy):
    # A method of another part of the host only reads what the decision needs.
    if not state_copy.is_copied(type(value.__self__)):
        return value
    return types.MethodType(value.__func__, state_copy.of(value.__self__))


@_copied.register
def _(value: tuple, state_copy):
    items = [state_copy.of(item) for item in value]
    if all(item is original for item, original in zip(items, value, strict=True)):
        copied = value
    elif hasattr(value, "_make"):
        copied = value._make(items)
    else:
        copied = tuple(items)
    state_copy.remember(value, copied)
    return copied


@_copied.register
def _(value: list, state_copy):
    copied = []
    state_copy.remember(value, copied)
    copied += [state_copy.of(item) for item in value]
    return copied


@_copied.register
def _(value: collections.deque, state_copy):
    copied = collections.deque(maxlen=value.maxlen)
    state_copy.remember(value, copied)
    copied.extend(state_copy.of(item) for item in value)
    return copied


@_copied.register
def _(value: set, state_copy):
    copied = {state_copy.of(item) for item in value}
    state_copy.remember(value, copied)
    return copied


@_copied.register
def _(value: dict, state_copy):
    # A shallow copy keeps the type, the order and what a missing key gives.
    copied = value.copy()
    state_copy.remember(value, copied)
    for key, item in value.items():
        if type(item) in _PLAIN_TYPES:
            continue
        new_item = state_copy.of(item)
        if new_item is not item:
            copied[key] = new_item
    return copied


@_copied.register
def _(value: array.array, state_copy):
    copied = value[:]
    state_copy.remember(value, copied)
    return copied


@_copied.register
def _(value: SortedList, state_copy):
    return state_copy.copy_object(value)


@_copied.register
def _(value: InvariantLog, state_copy):
    copied = _UncountedInvariants(fatal=False)
    state_copy.remember(value, copied)
    return copied


@_copied.register
def _(value: PromptCache, state_copy):
    copied = _PromptCacheCopy(value)
    state_copy.remember(value, copied)
    return copied


@_copied.register
def _(value: PrefixMap, state_copy):
    copied = _PrefixMapCopy(value)
    state_copy.remember(value, copied)
    return copied


@_copied.register
def _(value: RetryReservations, state_copy):
    # Reservations cannot change, so only the containers are copied. There may be 10,000
    # reservations after a burst, which took 0.2 s to copy one by one.
    for name in ("_expected", "_lapsed", "_outstanding", "_unclaimed"):
        entries = getattr(value, name)
        state_copy.remember(entries, entries.copy())
    heaps = value._by_key
    state_copy.remember(heaps, {key: heap.copy() for key, heap in heaps.items()})
    return state_copy.copy_object(value)


@_copied.register
def _(value: QuotaTracker, state_copy):
    state_copy.remember(value._usage, _UsageCopies(value._usage, state_copy))
    return state_copy.copy_object(value)
