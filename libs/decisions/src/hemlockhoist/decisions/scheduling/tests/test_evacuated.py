import unittest

from hemlockhoist.base import ResultCode
from hemlockhoist.decisions import (
    Granted,
    Outcome,
    OutcomeKind,
    Upstream,
    UpstreamState,
)
from hemlockhoist.decisions.scheduling import DeclaredSlotsTracker, PoolScheduler
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.declarations import Pool, PoolKind


def upstream(name, state=UpstreamState.LIVE, region="", slot_count=1):
    return Upstream(
        upstream_id=name,
        pool="assistant",
        version="v1",
        address="127.0.0.1:1",
        failure_domain=name[0],
        region=region,
        slot_count=slot_count,
        state=state,
    )


def evacuated(name):
    return upstream(name, UpstreamState.EVACUATED)


def scheduler(*upstreams):
    pool = Pool(name="assistant", kind=PoolKind.MODEL, stable_version="")
    made = PoolScheduler.from_config(pool, (), "i1", tracker=DeclaredSlotsTracker())
    made.set_upstreams(upstreams, 0)
    return made


class EvacuationTests(unittest.TestCase):
    def test_waiting_requests_go_to_the_other_domains(self):
        """Guards against sending waiting requests to an evacuated domain."""
        sched = scheduler(upstream("a1"), upstream("b1"))
        first = [sched.submit(b.request(), 0)[0].grant for _ in range(2)]
        waiting = b.request()
        self.assertEqual(sched.submit(waiting, 0), [])
        sched.set_upstreams([evacuated("a1"), upstream("b1")], 10)
        grants = {grant.upstream_id: grant.grant_id for grant in first}
        done = Outcome(kind=OutcomeKind.SUCCESS, total_ms=20)
        self.assertEqual(sched.release(grants["a1"], done, 20), [])
        (granted,) = sched.release(grants["b1"], done, 30)
        self.assertEqual(granted.grant.upstream_id, "b1")
        self.assertIs(granted.request, waiting)

    def test_requests_are_refused_at_once_when_all_domains_are_evacuated(self):
        """Guards against callers waiting for upstreams that get no requests."""
        sched = scheduler(upstream("a1"), upstream("b1"))
        for _ in range(2):
            sched.submit(b.request(), 0)
        waiting = [b.request(rank=rank) for rank in (0, 1)]
        for request in waiting:
            self.assertEqual(sched.submit(request, 0), [])
        refused = sched.set_upstreams([evacuated("a1"), evacuated("b1")], 10)
        self.assertEqual(b.rejected(refused), [r.request_id for r in waiting[::-1]])
        refused += sched.submit(b.request(), 20)
        self.assertEqual({item.code for item in refused}, {ResultCode.NO_UPSTREAM})
        self.assertGreater(min(item.retry_after_ms for item in refused), 1_000)
        self.assertEqual(sched.evacuated_domains(), ["a", "b"])

    def test_domain_is_used_again_after_the_evacuation(self):
        sched = scheduler(evacuated("a1"))
        self.assertEqual(len(b.rejected(sched.submit(b.request(), 0))), 1)
        sched.set_upstreams([upstream("a1")], 10)
        self.assertIsInstance(sched.submit(b.request(), 20)[0], Granted)


class RegionTests(unittest.TestCase):
    def setUp(self):
        self.sched = scheduler(
            upstream("n1", region="north", slot_count=3), upstream("s1", region="south")
        )

    def test_requests_stay_in_their_regions(self):
        """Guards against sending prompts to a region that is not allowed.

        All slots of the allowed region were taken, and one of another was free.
        """
        bound = [b.request(regions=("south",)) for _ in range(2)]
        (granted,) = self.sched.submit(bound[0], 0)
        self.assertEqual(granted.grant.upstream_id, "s1")
        self.assertEqual(self.sched.submit(bound[1], 0), [])
        (other,) = self.sched.submit(b.request(), 0)
        self.assertEqual(other.grant.upstream_id, "n1")

    def test_requests_are_refused_when_their_regions_have_no_upstream(self):
        for regions in (("west",), ("",)):
            with self.subTest(regions):
                (refused,) = self.sched.submit(b.request(regions=regions), 0)
                self.assertIs(refused.code, ResultCode.NO_UPSTREAM)
