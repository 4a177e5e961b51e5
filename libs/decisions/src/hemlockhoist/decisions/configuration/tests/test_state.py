import unittest

from hemlockhoist.base import InvariantLog, PropertyViolation
from hemlockhoist.decisions.configuration import ConfigurationState
from hemlockhoist.decisions.configuration.state import CONFIRM_TIMEOUT_MS, FANOUT
from hemlockhoist.decisions.configuration.tests.fleet import (
    ConfigurationFleet,
    make_declarations,
)
from hemlockhoist.messages.configuration import ConfigurationContent, HaltedVersion

HALTED = HaltedVersion(pool="hall", move_id="m1", version="2")


class PropagationTests(unittest.TestCase):
    def test_a_change_is_in_force_everywhere_within_seconds(self):
        """A row changed in the store is in force at 40 hosts in five seconds."""
        fleet = ConfigurationFleet(40)
        fleet.run(10_000)
        fleet.row = make_declarations(2)
        fleet.run(5_000)
        self.assertEqual(fleet.versions(), {2})
        report = fleet.states["h0"].report(2)
        self.assertTrue(report.is_everywhere, report)
        self.assertEqual(report.confirmed, 40)

    def test_store_down_just_after_the_write(self):
        """Guards against a confirmed change that waits for the end of an outage.

        The store confirms an operator's change and then goes down for an hour. The host
        that wrote the change propagates it, and no host waits for the store.
        """
        fleet = ConfigurationFleet(8)
        fleet.run(10_000)
        fleet.store_up = False
        fleet.deliver(
            fleet.states["h7"].apply_if_newer(make_declarations(2), fleet.now_ms)
        )
        fleet.run(5_000)
        self.assertEqual(fleet.versions(), {2})

    def test_host_started_during_an_outage_is_updated_by_peers(self):
        """A new host is not ready until it gets the declarations from a peer."""
        fleet = ConfigurationFleet(8)
        fleet.run(10_000)
        fleet.store_up = False
        state = fleet.add(8)
        self.assertFalse(state.is_ready(fleet.now_ms))
        fleet.run(3_000)
        self.assertTrue(state.is_ready(fleet.now_ms))
        self.assertEqual(state.version, 1)

    def test_hosts_without_peers_or_store_are_not_ready(self):
        """If the store is down and no peer has declarations, no host is ready."""
        fleet = ConfigurationFleet(3)
        fleet.store_up = False
        fleet.run(60_000)
        ready = [s.is_ready(fleet.now_ms) for s in fleet.states.values()]
        self.assertEqual(ready, [False] * 3)

    def test_halted_versions_reach_all_with_the_store_down(self):
        """A version halted at one host is halted at all, including later ones."""
        fleet = ConfigurationFleet(8)
        fleet.run(10_000)
        fleet.store_up = False
        fleet.deliver(fleet.states["h3"].halt(HALTED, fleet.now_ms))
        fleet.run(3_000)
        fleet.add(8)
        fleet.run(5_000)
        for state in fleet.states.values():
            self.assertTrue(state.is_halted("hall", "m1", "2"))
            self.assertFalse(state.is_halted("hall", "m2", "2"))


class NeverRevertsTests(unittest.TestCase):
    def make_state(self):
        state = ConfigurationState.from_config("h0", "h0-1", InvariantLog(True), 1)
        state.apply_if_newer(make_declarations(5), 0)
        state.mark_in_force(5, 0)
        return state

    def test_older_versions_change_nothing(self):
        """Guards against reverting an accepted change by an older version.

        A peer that was partitioned for an hour sends its old version, and the store
        answers from a lagging replica. Applying either would revert an accepted change.
        """
        state = self.make_state()
        old = make_declarations(4)
        message = ConfigurationContent(address="h1", version=4, declarations=old)
        self.assertEqual(state.on_message(message, 1), [])
        self.assertEqual(state.on_store_answer(old, 2), [])
        self.assertEqual(state.serving_declarations(3).version, 5)

    def test_two_contents_of_one_version_are_a_violation(self):
        """Checks that a second content of the same version raises.

        Two operators race, and a host propagates a write that the store has not
        confirmed. One version number then has two contents.
        """
        state = self.make_state()
        with self.assertRaises(PropertyViolation):
            state.apply_if_newer(make_declarations(5, "port office"), 1)

    def test_serving_a_reverted_version_is_a_violation(self):
        """Serving a lower version than the acknowledged one is a violation."""
        state = self.make_state()
        state.current = make_declarations(4)
        with self.assertRaises(PropertyViolation):
            state.serving_declarations(1)
        with self.assertRaises(PropertyViolation):
            state.mark_in_force(4, 1)

    def test_resumed_host_serves_nothing_before_a_confirmation(self):
        """Guards against serving an old version after a suspension.

        Host h5 is frozen while version 2 comes into force and the fleet considers it
        gone. It resumes with version 1 and reads messages that waited in its socket,
        among them a peer's confirmation from before the change that 1 is the newest.
        Serving before a new confirmation would revert the change for its callers.
        """
        fleet = ConfigurationFleet(8)
        fleet.run(10_000)
        resumed = fleet.states["h5"]
        fleet.delayed = []
        fleet.frozen.add("h5")
        fleet.run(4_000)
        fleet.row = make_declarations(2)
        fleet.run(20_000)
        fleet.frozen.clear()
        self.assertFalse(resumed.is_ready(fleet.now_ms))
        resumed.tick(fleet.now_ms)
        for item in fleet.delayed[:4]:
            resumed.on_message(item.message, fleet.now_ms)
        self.assertFalse(resumed.is_ready(fleet.now_ms))
        fleet.run(2_000)
        self.assertTrue(resumed.is_ready(fleet.now_ms))
        self.assertEqual(resumed.version, 2)

    def test_resumed_host_without_replies_serves_again(self):
        """Hosts frozen together each serve their version again after a short wait."""
        fleet = ConfigurationFleet(3)
        fleet.run(10_000)
        fleet.store_up = False
        fleet.frozen = {"h1", "h2"}
        fleet.now_ms += 60_000
        fleet.run(1_000)
        self.assertFalse(fleet.states["h0"].is_ready(fleet.now_ms))
        fleet.run(CONFIRM_TIMEOUT_MS)
        self.assertTrue(fleet.states["h0"].is_ready(fleet.now_ms))

    def test_lagging_and_restarted_hosts_are_listed(self):
        """A frozen host lags, and a restarted one until it has acknowledged itself."""
        fleet = ConfigurationFleet(6)
        fleet.run(10_000)
        fleet.frozen.add("h4")
        fleet.row = make_declarations(2)
        fleet.run(5_000)
        report = fleet.states["h0"].report(2)
        self.assertEqual((report.lagging, report.is_everywhere), (("h4",), False))
        fleet.frozen.clear()
        fleet.run(5_000)
        self.assertTrue(fleet.states["h0"].report(2).is_everywhere)
        fleet.add(4, incarnation_number=2)
        fleet.frozen.add("h4")
        fleet.run(2_000)
        self.assertEqual(fleet.states["h0"].report(2).lagging, ("h4",))

    def test_new_version_goes_to_a_bounded_number_of_peers(self):
        """Applying a version sends as many digests among 1,300 hosts as among 8."""
        for count in (8, 1_300):
            fleet = ConfigurationFleet(count)
            state = fleet.states["h0"]
            state.set_view(fleet.members, ["h0"], 0)
            self.assertEqual(len(state.apply_if_newer(make_declarations(2), 0)), FANOUT)
