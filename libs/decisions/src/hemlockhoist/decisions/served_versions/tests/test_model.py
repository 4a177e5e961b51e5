import unittest

from hemlockhoist.decisions.served_versions.tests.model import State, VersionModel

# By the versions and the bad ones among them, how many events are played in a row.
DEPTHS = {
    (("v1", "v2"), ()): 5,
    (("v1", "v2"), ("v2",)): 5,
    (("v1", "v2", "v3"), ("v2",)): 4,
    (("v1", "v2", "v3"), ("v2", "v3")): 4,
}


class ModelTests(unittest.TestCase):
    def test_no_succession_breaks_the_bound_or_refuses_beside_a_live_version(self):
        """Guards against versions that serve, or don't, by who is listed just now."""
        for (versions, bad), depth in DEPTHS.items():
            with self.subTest(versions=versions, bad=bad):
                count, faults = VersionModel(versions, bad).search(depth)
                print(f"{count} states of {versions}, bad: {bad}, {depth} events")
                self.assertEqual(faults, {})


class FaultyModel(VersionModel):
    """A model of hosts that take a version on trial for one that serves."""

    def full(self, state):
        """Return the versions that serve, with the one on trial."""
        trial = {state.roles().trial_version} - {None}
        return super().full(state) | trial & state.listed


class ForgetfulModel(VersionModel):
    """A model of hosts that read the record only after they have begun to serve."""

    def _hosts(self, state):
        for name, changed in super()._hosts(state):
            yield name, changed.change(is_known=True)


class IdleModel(VersionModel):
    """A model of hosts that try no version where no other can serve."""

    def alone(self, state):
        """Return no version."""
        return frozenset()


class FaultTests(unittest.TestCase):
    """Models with a fault, which the search has to find."""

    def faults(self, kind, depth=3):
        _, faults = kind(("v1", "v2"), ("v2",)).search(depth)
        return faults

    def test_version_on_trial_that_serves_is_found(self):
        faults = self.faults(FaultyModel)
        path = faults["['v2'] gets requests without a bound"]
        self.assertEqual(path, ("order v2 and its upstreams",))

    def test_hosts_that_do_not_wait_for_the_record_are_found(self):
        faults = self.faults(ForgetfulModel, depth=4)
        path = faults["['v2'] gets requests without a bound"]
        self.assertEqual(path[-1], "all hosts are killed")

    def test_refused_requests_are_found(self):
        path = self.faults(IdleModel)["requests are refused beside ['v2']"]
        self.assertEqual(path, ("order v2 and its upstreams", "v1 crashes"))

    def test_late_write_is_carried_out_unless_its_row_has_changed(self):
        model = VersionModel(("v1", "v2"), ("v2",))
        state = dict(model.events(State()))["an answer is lost"]
        state = model.tick(dict(model.events(state))["order v2 and its upstreams"])
        self.assertIsNone(state.stored)
        events = dict(model.events(state))
        late = model.tick(events["a late write is carried out"])
        self.assertEqual(late.stored.to_version, "v2")
        state = model.tick(state)
        self.assertNotIn("a late write is carried out", dict(model.events(state)))
