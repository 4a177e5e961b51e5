import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hemlockhoist.decisions.versions.orders import (
    RESEND_MS,
    OrderState,
    OrderTracker,
)

LEASE_MS = 10_000
PAUSE_MS = 3_000


def book(checks_fencing=True, fencing=1, now_ms=0):
    return OrderTracker.from_config(
        checks_fencing, fencing, now_ms + LEASE_MS, now_ms, longest_pause_ms=PAUSE_MS
    )


class OrderBookTest(unittest.TestCase):
    def test_an_order_is_repeated_until_it_is_read_back(self):
        """An order's answer is lost; nobody knows whether the engine has it.

        It is sent again under the same id until the engine is seen to run the
        version, and then no more.
        """
        orders = book()
        orders.want("e1", "v2")
        first = orders.due(0)
        self.assertEqual(orders.due(1), [])
        self.assertEqual(orders.due(RESEND_MS), first)
        orders.want("e1", "v2")
        orders.observe("e1", "v2")
        self.assertEqual(orders.due(2 * RESEND_MS - 1), [])
        self.assertIs(orders.state("e1"), OrderState.IN_FORCE)

    def test_a_holder_past_its_lease_sends_nothing(self):
        orders = book()
        orders.want("e1", "v2")
        self.assertEqual(orders.due(LEASE_MS), [])
        orders.renew(2 * LEASE_MS)
        self.assertEqual(len(orders.due(LEASE_MS)), 1)

    def test_where_the_number_is_ignored_the_first_order_waits(self):
        """A host is frozen between its last check and its order, and loses its lease.

        The engine ignores fencing numbers. Were the successor's order sent at once,
        the frozen host's would come after it and stay. The successor waits out the
        longest pause; what slips in later is read back and ordered anew.
        """
        successor = book(checks_fencing=False, fencing=2)
        successor.want("e1", "v1")
        self.assertEqual(successor.due(PAUSE_MS - 1), [])
        self.assertEqual(len(successor.due(PAUSE_MS)), 1)
        successor.observe("e1", "v1")
        successor.observe("e1", "v2")
        self.assertEqual(len(successor.due(PAUSE_MS + 1)), 1)

    def test_a_refusal_with_a_higher_number_ends_the_book(self):
        orders = book(fencing=1)
        orders.want("e1", "v2")
        orders.refuse("e1", 1)
        self.assertFalse(orders.is_lost)
        orders.refuse("e1", 2)
        self.assertEqual(orders.due(0), [])


class OrderMachine(RuleBasedStateMachine):
    """Two holders in turn; the first may be frozen with an order about to be sent."""

    checks_fencing = True
    pause_ms = PAUSE_MS

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.engine = "v1"
        self.engine_fencing = 0
        self.books = [self.new_book(1)]
        self.frozen = []
        self.taken_ms = 0

    def new_book(self, fencing):
        made = OrderTracker.from_config(
            self.checks_fencing,
            fencing,
            self.now_ms + LEASE_MS,
            self.now_ms,
            longest_pause_ms=self.pause_ms,
        )
        made.want("e1", f"v{fencing + 1}")
        return made

    def apply(self, order):
        if self.checks_fencing and order.fencing < self.engine_fencing:
            return
        self.engine = order.version
        self.engine_fencing = max(self.engine_fencing, order.fencing)

    @rule(ms=st.integers(100, 4_000))
    def advance(self, ms):
        self.now_ms += ms
        late = [item for item in self.frozen if self.now_ms >= item[0]]
        self.frozen = [item for item in self.frozen if self.now_ms < item[0]]
        for _, order in late:
            self.apply(order)

    @rule()
    def send(self):
        for order in self.books[-1].due(self.now_ms):
            self.apply(order)
        self.books[-1].renew(self.now_ms + LEASE_MS)

    @rule()
    def read_back(self):
        self.books[-1].observe("e1", self.engine)

    @rule(pause_ms=st.integers(1, PAUSE_MS))
    @precondition(lambda self: len(self.books) < 4)
    def freeze_the_holder_as_it_sends(self, pause_ms):
        for order in self.books[-1].due(self.now_ms):
            self.frozen.append((self.now_ms + pause_ms, order))
        self.books.append(self.new_book(len(self.books) + 1))
        self.taken_ms = self.now_ms

    @invariant()
    def an_order_in_force_stays_so(self):
        current = self.books[-1]
        if (
            current.state("e1") is OrderState.IN_FORCE
            and not self.engine_runs_the_order()
        ):
            raise AssertionError(f"engine runs {self.engine}")

    def engine_runs_the_order(self):
        return self.engine == f"v{len(self.books) + 1}"


class IgnoringOrderMachine(OrderMachine):
    """The same with engines that ignore fencing numbers."""

    checks_fencing = False


_SETTINGS = settings(max_examples=60, stateful_step_count=30, deadline=None)
OrderMachine.TestCase.settings = _SETTINGS
IgnoringOrderMachine.TestCase.settings = _SETTINGS


class CheckingEnginesTest(OrderMachine.TestCase):
    """No order in force is undone by a former holder, where numbers are checked."""


class IgnoringEnginesTest(IgnoringOrderMachine.TestCase):
    """Nor where they are ignored, as the first order waits."""


class _HastyOrderMachine(IgnoringOrderMachine):
    pause_ms = 0


# A search draws its examples with the constants of the sources that are loaded, so that
# sixty of them find the break in one state of the tree and not in the next.
_SEARCH_SETTINGS = settings(_SETTINGS, max_examples=3_000)


class MutationTest(unittest.TestCase):
    def test_without_the_wait_the_run_fails(self):
        case = _HastyOrderMachine.TestCase
        case.settings = _SEARCH_SETTINGS
        result = unittest.TestResult()
        case("runTest").run(result)
        self.assertEqual(len(result.failures) + len(result.errors), 1)
