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
SUSPENSION_MS = 3_000


def new_tracker(checks_fencing=True, fencing=1, now_ms=0):
    return OrderTracker.from_config(
        checks_fencing,
        fencing,
        now_ms + LEASE_MS,
        now_ms,
        max_suspension_ms=SUSPENSION_MS,
    )


class OrderTrackerTest(unittest.TestCase):
    def test_order_is_resent_until_it_is_read_back(self):
        """Guards against an order that is lost because its response was lost.

        It is sent again under the same id until the engine is observed to run the
        version.
        """
        orders = new_tracker()
        orders.set_target("e1", "v2")
        first = orders.due(0)
        self.assertEqual(orders.due(1), [])
        self.assertEqual(orders.due(RESEND_MS), first)
        orders.set_target("e1", "v2")
        orders.observe("e1", "v2")
        self.assertEqual(orders.due(2 * RESEND_MS - 1), [])
        self.assertIs(orders.state("e1"), OrderState.IN_FORCE)

    def test_holder_of_an_expired_lease_sends_nothing(self):
        orders = new_tracker()
        orders.set_target("e1", "v2")
        self.assertEqual(orders.due(LEASE_MS), [])
        orders.renew(2 * LEASE_MS)
        self.assertEqual(len(orders.due(LEASE_MS)), 1)

    def test_first_order_is_delayed_if_the_engine_ignores_fencing(self):
        """Guards against an order of a previous lease holder that stays in force.

        A host is suspended between checking its lease and sending its order, and the
        engine ignores fencing tokens. The successor waits for the longest assumed
        suspension first; a later change is read back and corrected.
        """
        successor = new_tracker(checks_fencing=False, fencing=2)
        successor.set_target("e1", "v1")
        self.assertEqual(successor.due(SUSPENSION_MS - 1), [])
        self.assertEqual(len(successor.due(SUSPENSION_MS)), 1)
        successor.observe("e1", "v1")
        successor.observe("e1", "v2")
        self.assertEqual(len(successor.due(SUSPENSION_MS + 1)), 1)

    def test_rejection_with_a_higher_token_stops_all_orders(self):
        orders = new_tracker(fencing=1)
        orders.set_target("e1", "v2")
        orders.record_refusal("e1", 1)
        self.assertFalse(orders.is_lease_lost)
        orders.record_refusal("e1", 2)
        self.assertEqual(orders.due(0), [])


class OrderMachine(RuleBasedStateMachine):
    """Successive lease holders; each may be suspended just before it sends an order."""

    checks_fencing = True
    suspension_ms = SUSPENSION_MS

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.engine = "v1"
        self.engine_fencing = 0
        self.trackers = [self.new_holder(1)]
        self.suspended = []
        self.acquired_ms = 0

    def new_holder(self, fencing):
        tracker = OrderTracker.from_config(
            self.checks_fencing,
            fencing,
            self.now_ms + LEASE_MS,
            self.now_ms,
            max_suspension_ms=self.suspension_ms,
        )
        tracker.set_target("e1", f"v{fencing + 1}")
        return tracker

    def apply(self, order):
        if self.checks_fencing and order.fencing < self.engine_fencing:
            return
        self.engine = order.version
        self.engine_fencing = max(self.engine_fencing, order.fencing)

    @rule(ms=st.integers(100, 4_000))
    def advance(self, ms):
        self.now_ms += ms
        late = [item for item in self.suspended if self.now_ms >= item[0]]
        self.suspended = [item for item in self.suspended if self.now_ms < item[0]]
        for _, order in late:
            self.apply(order)

    @rule()
    def send(self):
        for order in self.trackers[-1].due(self.now_ms):
            self.apply(order)
        self.trackers[-1].renew(self.now_ms + LEASE_MS)

    @rule()
    def read_back(self):
        self.trackers[-1].observe("e1", self.engine)

    @rule(suspension_ms=st.integers(1, SUSPENSION_MS))
    @precondition(lambda self: len(self.trackers) < 4)
    def suspend_holder_before_sending(self, suspension_ms):
        for order in self.trackers[-1].due(self.now_ms):
            self.suspended.append((self.now_ms + suspension_ms, order))
        self.trackers.append(self.new_holder(len(self.trackers) + 1))
        self.acquired_ms = self.now_ms

    @invariant()
    def order_in_force_stays_in_force(self):
        current = self.trackers[-1]
        if (
            current.state("e1") is OrderState.IN_FORCE
            and not self.engine_runs_ordered_version()
        ):
            raise AssertionError(f"engine runs {self.engine}")

    def engine_runs_ordered_version(self):
        return self.engine == f"v{len(self.trackers) + 1}"


class IgnoringOrderMachine(OrderMachine):
    """The same with engines that ignore fencing tokens."""

    checks_fencing = False


_SETTINGS = settings(max_examples=60, stateful_step_count=30, deadline=None)
OrderMachine.TestCase.settings = _SETTINGS
IgnoringOrderMachine.TestCase.settings = _SETTINGS


class CheckingEnginesTest(OrderMachine.TestCase):
    """No previous holder undoes an order in force at engines that check tokens."""


class IgnoringEnginesTest(IgnoringOrderMachine.TestCase):
    """No previous holder undoes an order in force at engines that ignore tokens."""


class _UndelayedOrderMachine(IgnoringOrderMachine):
    suspension_ms = 0


# Hypothesis also draws constants from the loaded sources, so whether sixty examples
# find the failure depends on the state of the source tree.
_SEARCH_SETTINGS = settings(_SETTINGS, max_examples=3_000)


class MutationTest(unittest.TestCase):
    def test_run_fails_without_the_delay_of_the_first_order(self):
        case = _UndelayedOrderMachine.TestCase
        case.settings = _SEARCH_SETTINGS
        result = unittest.TestResult()
        case("runTest").run(result)
        self.assertEqual(len(result.failures) + len(result.errors), 1)
