import collections
import unittest

import msgspec

from hemlockhoist.base import InvariantLog
from hemlockhoist.decisions import (
    Outcome,
    OutcomeKind,
    Upstream,
    UpstreamState,
    VersionPolicy,
    WorkRequest,
)
from hemlockhoist.decisions.entry import (
    MoveOrder,
    MoveOrderState,
    WithheldVersionPolicy,
    live_versions,
    order_state,
    source_version,
)
from hemlockhoist.decisions.versions import (
    MoveController,
    MoveRequest,
    MoveState,
    TrialBound,
    start_move,
)
from hemlockhoist.decisions.versions.move import roll_back_move
from hemlockhoist.declarations import Pool, PoolKind

ORDER = MoveOrder(order_id="halls@7", pool="halls", to_version="v2", duration_ms=12_000)
REQUEST = WorkRequest(
    request_id="r1",
    route="check",
    customer="c",
    tier_rank=0,
    deadline_ms=1_000,
    first_token_by_ms=500,
)

ANSWER = Outcome(kind=OutcomeKind.SUCCESS, first_token_ms=20, total_ms=90)


def upstream(name, version, pool="halls", state=UpstreamState.LIVE):
    return Upstream(
        upstream_id=name,
        pool=pool,
        version=version,
        address="10.0.0.1:80",
        failure_domain="a",
        state=state,
    )


def move(**fields):
    request = MoveRequest(
        move_id=ORDER.order_id,
        pool="halls",
        from_version="v1",
        to_version="v2",
        moved_by_unix_ms=10_000,
        reason="ordered",
        author="operator",
    )
    return start_move(None, request, 0)


class NoMove(VersionPolicy):
    row = None


class VersionsTests(unittest.TestCase):
    def test_leaving_upstreams_and_other_pools_do_not_count(self):
        found = live_versions(
            [
                upstream("a", "v1"),
                upstream("b", "v1", state=UpstreamState.LEAVING),
                upstream("c", "v2", pool="other"),
            ],
            "halls",
        )
        self.assertEqual(found, {"v1": 1})

    def test_source_version_is_that_of_most_upstreams(self):
        counts = {"v0": 1, "v1": 4, "v2": 5}
        self.assertEqual(source_version(ORDER, counts), "v1")
        self.assertEqual(source_version(ORDER, {"v2": 5}), "")


class OrderStateTests(unittest.TestCase):
    def test_completion_is_reported_when_the_old_version_is_idle(self):
        """Guards against stopping old upstreams while answers are in progress."""
        row = move()
        self.assertIs(order_state(row, 0), MoveOrderState.IN_PROGRESS)
        row = type(row)(**{**_fields(row), "state": MoveState.FINISHED})
        self.assertIs(order_state(row, 2), MoveOrderState.IN_PROGRESS)
        self.assertIs(order_state(row, 0), MoveOrderState.COMPLETED)

    def test_move_that_was_rolled_back(self):
        row = roll_back_move(move(), ORDER.order_id, "bad", "home")
        self.assertIs(order_state(row, 3), MoveOrderState.ROLLED_BACK)


class WithheldVersionTests(unittest.TestCase):
    def test_ordered_version_gets_no_requests_before_its_move(self):
        policy = WithheldVersionPolicy(NoMove(), lambda: ORDER)
        self.assertEqual(policy.candidates(REQUEST, ("v1", "v2"), 0), ("v1",))
        self.assertEqual(policy.candidates(REQUEST, ("v2",), 0), ())

    def test_without_an_order_all_versions_serve(self):
        policy = WithheldVersionPolicy(NoMove(), lambda: None)
        self.assertEqual(policy.candidates(REQUEST, ("v1", "v2"), 0), ("v1", "v2"))


class ReleaseTests(unittest.TestCase):
    """Versions that come without an order, after the move of an earlier one."""

    def policy(self, row, live, order=ORDER):
        controller = MoveController.from_config(
            Pool(name="halls", kind=PoolKind.SERVICE, stable_version=""),
            row,
            0,
            0,
            InvariantLog(fatal=True),
            TrialBound(share_permille=100, requests=10),
            watch_ms=0,
        )
        counts = collections.Counter(live)
        return WithheldVersionPolicy(controller, lambda: order, lambda: counts)

    def candidates(self, row, live, order=ORDER):
        policy = self.policy(row, live, order)
        return policy.candidates(REQUEST, tuple(sorted(set(live))), 20_000)

    def ended(self, state):
        return type(move())(**{**_fields(move()), "state": state, "ended_unix_ms": 0})

    def test_version_released_after_a_move_serves(self):
        """Guards against a service without answers once its versions were replaced."""
        finished = self.ended(MoveState.FINISHED)
        self.assertEqual(self.candidates(finished, ["v3"]), ("v3",))
        self.assertEqual(self.candidates(finished, ["v2", "v3"]), ("v2", "v3"))

    def test_version_released_after_a_roll_back_serves_and_the_bad_one_does_not(self):
        """Guards against a bad version that serves again as the good one is replaced."""
        rolled_back = roll_back_move(move(), ORDER.order_id, "bad", "home")
        self.assertEqual(self.candidates(rolled_back, ["v2", "v3"]), ("v3",))
        self.assertEqual(self.candidates(rolled_back, ["v2"]), ())

    def test_version_of_before_serves_only_once_the_new_one_is_gone(self):
        """Guards against old upstreams that get work after they may be stopped."""
        finished = self.ended(MoveState.FINISHED)
        self.assertEqual(self.candidates(finished, ["v1", "v2"]), ("v2",))
        self.assertEqual(self.candidates(finished, ["v1"]), ("v1",))

    def test_further_ordered_version_is_withheld_until_its_move_begins(self):
        """Guards against a version that serves without a trial after an earlier move."""
        finished = self.ended(MoveState.FINISHED)
        order = MoveOrder(
            order_id="halls@9", pool="halls", to_version="v3", duration_ms=12_000
        )
        self.assertEqual(self.candidates(finished, ["v2", "v3"], order), ("v2",))

    def test_release_of_both_versions_serves_while_the_move_goes_on(self):
        """Guards against a service without answers, as no end of its move comes."""
        self.assertEqual(self.candidates(move(), ["v3"]), ("v3",))

    def test_release_of_the_old_version_serves_beside_the_trial(self):
        """Guards against requests that are refused, as only the trial version is left."""
        self.assertEqual(self.candidates(move(), ["v2", "v3"]), ("v3",))

    def test_trial_version_gets_its_share_of_what_a_release_serves(self):
        """Guards against a trial whose share is not counted beside a release."""
        policy = self.policy(move(), ["v2", "v3"])
        granted = collections.Counter()
        for now_ms in range(1_000, 2_000, 5):
            request = msgspec.structs.replace(REQUEST, request_id=f"r{now_ms}")
            version = policy.candidates(request, ("v2", "v3"), now_ms)[0]
            policy.on_grant(request, version, now_ms, "u")
            policy.on_outcome(request, version, ANSWER, now_ms, "u")
            granted[version] += 1
        # The first share is one in a hundred, of which half counts as granted before.
        self.assertEqual(granted, {"v2": 2, "v3": 198})

    def test_third_version_gets_nothing_while_a_move_runs(self):
        self.assertNotIn("v3", self.candidates(move(), ["v1", "v2", "v3"]))


def _fields(row):
    return {name: getattr(row, name) for name in row.__struct_fields__}
