import collections
import itertools
import unittest

import msgspec

from hemlockhoist.base import InvariantLog
from hemlockhoist.decisions import Outcome, OutcomeKind, VersionPolicy, WorkRequest
from hemlockhoist.decisions.served_versions import ServedVersionPolicy
from hemlockhoist.decisions.served_versions.tests.builders import (
    ORDER,
    move,
    order,
    presence,
)
from hemlockhoist.decisions.versions import (
    MoveController,
    MoveState,
    OwnVerdict,
    Standing,
    TrialBound,
    cancel_move,
    finish_move,
    roll_back_move,
    with_row_standing,
)
from hemlockhoist.declarations import Pool, PoolKind

REQUEST = WorkRequest(
    request_id="r1",
    route="check",
    customer="c",
    tier_rank=0,
    deadline_ms=1_000,
    first_token_by_ms=500,
)
ANSWER = Outcome(kind=OutcomeKind.SUCCESS, first_token_ms=20, total_ms=90)


class NoMove(VersionPolicy):
    row = None


class WithheldVersionTests(unittest.TestCase):
    def test_ordered_version_gets_no_requests_before_its_move(self):
        policy = ServedVersionPolicy(NoMove(), lambda: ORDER)
        self.assertEqual(policy.candidates(REQUEST, ("v1", "v2"), 0), ("v1",))
        self.assertEqual(policy.candidates(REQUEST, ("v2",), 0), ())

    def test_without_an_order_all_versions_serve(self):
        policy = ServedVersionPolicy(NoMove(), lambda: None)
        self.assertEqual(policy.candidates(REQUEST, ("v1", "v2"), 0), ("v1", "v2"))


class PolicyTestCase(unittest.TestCase):
    """Builds policies from rows, orders and the versions that are deployed."""

    def policy(self, row, live, latest=ORDER):
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
        # The latest order's version is listed after it, the others before.
        listed = dict.fromkeys(counts, 1)
        if latest is not None:
            listed[latest.to_version] = latest.store_version + 1
        self.deployed = presence(counts, listed)
        return ServedVersionPolicy(
            controller,
            lambda: latest,
            lambda: self.deployed,
            bound=TrialBound(share_permille=60, requests=30),
        )

    def candidates(self, row, live, latest=ORDER):
        policy = self.policy(row, live, latest)
        return policy.candidates(REQUEST, tuple(sorted(set(live))), 20_000)

    def granted(self, policy, versions):
        """Return how many of 200 requests each version is granted."""
        granted = collections.Counter()
        for now_ms in range(1_000, 2_000, 5):
            request = msgspec.structs.replace(REQUEST, request_id=f"r{now_ms}")
            version = policy.candidates(request, versions, now_ms)[0]
            policy.on_grant(request, version, now_ms, "u")
            policy.on_outcome(request, version, ANSWER, now_ms, "u")
            granted[version] += 1
        return granted


class ReleaseTests(PolicyTestCase):
    """Versions that come without an order, after the move of an earlier one."""

    def ended(self, state):
        """Return the row of a move that a host of an earlier release has ended."""
        return msgspec.structs.replace(move(), state=state, ended_unix_ms=0)

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
        self.assertEqual(
            self.candidates(finished, ["v2", "v3"], order(9, "v3")), ("v2",)
        )

    def test_release_of_both_versions_serves_while_the_move_goes_on(self):
        """Guards against a service without answers, as no end of its move comes."""
        self.assertEqual(self.candidates(move(), ["v3"]), ("v3",))

    def test_release_of_the_old_version_serves_beside_the_trial(self):
        """Guards against requests that are refused, as only the trial version is left."""
        self.assertEqual(self.candidates(move(), ["v2", "v3"]), ("v3",))

    def test_trial_version_gets_its_share_of_what_a_release_serves(self):
        """Guards against a trial whose share is not counted beside a release."""
        policy = self.policy(move(), ["v2", "v3"])
        granted = self.granted(policy, ("v2", "v3"))
        # The first share is one in a hundred, of which half counts as granted before.
        self.assertEqual(granted, {"v2": 2, "v3": 198})

    def test_third_version_gets_nothing_while_a_move_runs(self):
        self.assertNotIn("v3", self.candidates(move(), ["v1", "v2", "v3"]))


class RecordTests(PolicyTestCase):
    """Versions of which earlier orders have shown something."""

    def setUp(self):
        self.rolled_back = roll_back_move(move(), ORDER.order_id, "bad", "home")

    def test_version_found_bad_gets_nothing_before_the_next_order_has_begun(self):
        """Guards against a rolled back version that serves as another is ordered."""
        found = self.candidates(self.rolled_back, ["v1", "v2", "v3"], order(9, "v3"))
        self.assertEqual(found, ("v1",))

    def test_version_found_bad_gets_nothing_during_the_next_move(self):
        """Guards against evidence that is forgotten with the row of its move."""
        latest = order(9, "v3")
        row = move("v1", latest, self.rolled_back)
        self.assertEqual(self.candidates(row, ["v1", "v2", "v3"], latest), ("v1",))

    def test_version_found_bad_gets_nothing_after_further_moves(self):
        latest = order(9, "v3")
        row = finish_move(
            move("v1", latest, self.rolled_back), latest.order_id, "", "", 1, 0
        )
        latest = order(12, "v4")
        row = roll_back_move(move("v3", latest, row), latest.order_id, "bad", "home")
        versions = ["v1", "v2", "v3", "v4"]
        self.assertEqual(self.candidates(row, versions, latest), ("v3",))

    def test_version_whose_order_is_replaced_gets_nothing(self):
        """Guards against an unproven version that serves as a third one is ordered."""
        latest = order(9, "v3")
        self.assertEqual(self.candidates(move(), ["v1", "v2", "v3"], latest), ("v1",))
        row = move("v1", latest, move())
        self.assertEqual(self.candidates(row, ["v1", "v2", "v3"], latest), ("v1",))

    def test_version_found_bad_is_tried_again_under_a_new_order(self):
        latest = order(9, "v2")
        self.assertEqual(
            self.candidates(self.rolled_back, ["v1", "v2"], latest), ("v1",)
        )
        row = move("v1", latest, self.rolled_back)
        policy = self.policy(row, ["v1", "v2"], latest)
        self.assertIn("v2", self.granted(policy, ("v1", "v2")))

    def test_serving_version_serves_on_as_it_is_ordered_again(self):
        """Guards against requests refused until an order back has begun."""
        latest = order(9, "v1")
        self.assertEqual(self.candidates(move(), ["v1", "v2"], latest), ("v1",))

    def test_row_of_a_move_cancelled_by_an_operator(self):
        row = cancel_move(move(), ORDER.order_id, "no", "operator")
        self.assertEqual(self.candidates(row, ["v1", "v2"]), ("v1",))


class LoneVersionTests(PolicyTestCase):
    """Versions that alone are left."""

    def lose(self, version, **fields):
        """Have all upstreams of a version vanish."""
        counts = self.deployed.deployed.copy()
        del counts[version]
        self.deployed = presence(counts, self.deployed.listed_versions, **fields)

    def answer(self, policy, kind=OutcomeKind.SUCCESS, versions=("v2",)):
        """Grant and answer a request; return its version, or None if it waits."""
        request = msgspec.structs.replace(REQUEST, request_id=f"r{next(self.numbers)}")
        found = policy.candidates(request, versions, 1_000)
        if not found:
            return None
        policy.on_grant(request, found[0], 1_000, "u")
        outcome = Outcome(kind=kind, first_token_ms=20, total_ms=90)
        policy.on_outcome(request, found[0], outcome, 1_000, "u")
        return found[0]

    def setUp(self):
        self.numbers = itertools.count()

    def test_version_on_trial_serves_once_the_old_one_is_gone(self):
        """Guards against requests refused for good beside a live sound version."""
        policy = self.policy(move(), ["v1", "v2"])
        self.lose("v1")
        granted = [self.answer(policy) for _ in range(100)]
        self.assertEqual(granted, ["v2"] * 100)
        self.assertEqual(policy.own_verdicts(), {"v2": OwnVerdict.PROVEN})

    def test_bad_version_on_trial_gets_its_bound_once_the_old_one_is_gone(self):
        policy = self.policy(move(), ["v1", "v2"])
        self.lose("v1")
        kind = OutcomeKind.FAILED
        granted = [self.answer(policy, kind) for _ in range(100)]
        self.assertLessEqual(granted.count("v2"), 32)
        self.assertTrue(policy.controller.is_halted("v2"))

    def test_version_on_trial_gets_its_share_while_the_old_one_may_return(self):
        """Guards against a bad version that serves alone right after an outage."""
        policy = self.policy(move(), ["v1", "v2"])
        self.lose("v1", missing=frozenset({"v1"}))
        granted = [self.answer(policy) for _ in range(100)]
        self.assertLessEqual(granted.count("v2"), 1)

    def test_version_on_trial_gets_its_share_again_as_the_old_one_is_back(self):
        policy = self.policy(move(), ["v1", "v2"])
        both = self.deployed
        self.lose("v1")
        for _ in range(40):
            self.answer(policy)
        self.deployed = both
        granted = [self.answer(policy, versions=("v1", "v2")) for _ in range(100)]
        self.assertGreaterEqual(granted.count("v1"), 98)

    def test_unproven_version_serves_once_the_one_on_trial_was_found_bad(self):
        """Guards against requests refused beside a version that nothing speaks against."""
        latest = order(9, "v3")
        row = move("v1", latest, move())
        policy = self.policy(row, ["v1", "v2", "v3"], latest)
        self.lose("v1")
        self.assertEqual(policy.candidates(REQUEST, ("v2", "v3"), 1_000), ("v3", "v2"))
        policy.controller.halt("v3", "bad", 1_000)
        self.assertEqual(policy.candidates(REQUEST, ("v2", "v3"), 1_000), ("v2",))

    def test_version_that_was_found_bad_and_is_trusted_again_serves(self):
        """Guards against the halt of a past move that outlives what it speaks of."""
        row = roll_back_move(move(), ORDER.order_id, "bad", "home")
        (item,) = row.standings
        unproven = msgspec.structs.replace(item, standing=Standing.UNPROVEN)
        policy = self.policy(with_row_standing(row, unproven), ["v1", "v2"])
        self.assertIsNone(self.answer(policy))
        self.lose("v1")
        granted = [self.answer(policy) for _ in range(100)]
        self.assertEqual(granted, ["v2"] * 100)
        proven = msgspec.structs.replace(item, standing=Standing.PROVEN)
        policy = self.policy(with_row_standing(row, proven), ["v1", "v2"])
        self.assertEqual(self.answer(policy), "v2")

    def test_version_found_bad_does_not_serve_alone(self):
        rolled_back = roll_back_move(move(), ORDER.order_id, "bad", "home")
        policy = self.policy(rolled_back, ["v1", "v2"])
        self.lose("v1")
        self.assertEqual(policy.candidates(REQUEST, ("v2",), 1_000), ())

    def test_replaced_version_serves_alone_without_a_trial(self):
        row = finish_move(move(), ORDER.order_id, "", "", 1, 0)
        policy = self.policy(row, ["v1", "v2"])
        self.lose("v2")
        for _ in range(100):
            self.assertEqual(self.answer(policy, versions=("v1",)), "v1")

    def test_evacuated_old_version_is_no_reason_to_refuse(self):
        """Guards against requests refused as all old upstreams are evacuated."""
        policy = self.policy(move(), ["v1", "v2"])
        self.deployed = msgspec.structs.replace(self.deployed, live=frozenset({"v2"}))
        self.assertEqual(policy.candidates(REQUEST, ("v2",), 1_000), ("v2",))
