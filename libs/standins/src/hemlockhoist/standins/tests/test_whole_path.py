import asyncio
import pathlib
import unittest

from hemlockhoist.declarations import parse_declarations
from hemlockhoist.standins.callers import Caller, CallerConfig, Seen
from hemlockhoist.standins.consistency import RunCounts, check_consistency
from hemlockhoist.standins.fleet import Fleet, FleetConfig
from hemlockhoist.standins.operator_client import OperatorClient

_DECLARATIONS = pathlib.Path("examples/declarations.yaml")
_MODEL = "assistant"
_SERVICE = "reservations"


class _Path:
    """One host, one engine and one service, as processes, and a caller."""

    def __init__(self):
        self.config = FleetConfig(hosts=1, hosts_lag_ms=0)
        self.fleet = Fleet.from_config(self.config)
        self.caller = None

    async def start(self):
        fleet = self.fleet
        await fleet.start_session()
        await fleet.start()
        await fleet.add_engines(1, _MODEL, "v1")
        await fleet.add_services(1, _SERVICE, "v1")
        await fleet.publish()
        await fleet.add_hosts()
        await fleet.publish()
        operator = OperatorClient.from_config(
            fleet.session, self.config.operator_key, fleet.host_addresses
        )
        declarations = parse_declarations(_DECLARATIONS.read_bytes())
        await operator.apply(declarations, 0, "test")
        seeds = fleet.host_addresses()
        config = CallerConfig(seeds=seeds, key="demo-key-large", patience_ms=10_000)
        self.caller = Caller.from_config(config)
        await self.caller.start()
        await self.caller.chat(_MODEL, "first", 8)

    async def close(self):
        if self.caller is not None:
            await self.caller.close()
        await self.fleet.close()


class WholePathTests(unittest.TestCase):
    """The processes serve all tests: a start takes longer than a test."""

    @classmethod
    def setUpClass(cls):
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        cls.path = _Path()
        cls.addClassCleanup(lambda: cls.runner.run(cls.path.close()))
        cls.runner.run(cls.path.start())
        (cls.engine,) = cls.path.fleet.upstreams(_MODEL)
        (cls.service,) = cls.path.fleet.upstreams(_SERVICE)
        cls.fleet, cls.caller = cls.path.fleet, cls.path.caller

    async def _assert_whole(self, stream=True):
        record = await self.caller.chat(_MODEL, "second", 8, stream)
        self.assertIs(record.seen, Seen.WHOLE, record)
        self.assertEqual((record.attempts, record.resends), (1, 0))
        reports = [await self.fleet.run_counts(item) for item in self.fleet.upstreams()]
        found = check_consistency([record], RunCounts(reports), 3_000, False)
        self.assertEqual(found, [])

    def test_crossed_answers(self):
        """
        An engine crosses two answers: the whole of one, or from some piece on. The
        caller would read another request's answer. The host sees it by the ids on
        head and pieces, and fetches the right pieces from the engine.
        """
        self.runner.run(self._crossed_answers())

    async def _crossed_answers(self):
        for at_piece in (0, 3):
            for stream in (True, False):
                faults = {"cross_streams": 1, "cross_at_piece": at_piece}
                await self.fleet.set_faults(self.engine, faults)
                await self._assert_whole(stream)

    def test_broken_streams(self):
        """
        The connection to an engine breaks in the middle of an answer, before its
        first piece, or again and again; at the resume the engine repeats a piece or
        skips one. The caller sees one whole answer, and the engine one run.
        """
        self.runner.run(self._broken_streams())

    async def _broken_streams(self):
        for pieces, times, shift in (3, 1, 0), (0, 1, 0), (2, 3, -1), (3, 1, 2):
            faults = {
                "break_streams": times,
                "break_after_pieces": pieces,
                "shift_resumes": 1,
                "resume_shift": shift,
            }
            await self.fleet.set_faults(self.engine, faults)
            await self._assert_whole()

    def test_booking_whose_answer_is_lost(self):
        """
        A service books a hall and its connection breaks before the answer. Nobody
        can tell the caller that it ran; a second try under the same key must not
        book again, and says the same.
        """
        self.runner.run(self._booking_whose_answer_is_lost())

    async def _booking_whose_answer_is_lost(self):
        await self.fleet.set_faults(self.service, {"drop_after": 1})
        record = await self.caller.book(_SERVICE, "/bookings", b"hall 3")
        self.assertIs(record.seen, Seen.UNKNOWN)
        host = await self.caller.directory.pick()
        headers = {**self.caller.headers, "Idempotency-Key": record.key}
        url = f"http://{host}/services/{_SERVICE}/bookings"
        async with self.caller.session.post(
            url, data=b"hall 3", headers=headers
        ) as response:
            self.assertEqual(response.headers["X-Request-Ran"], "outcome unknown")
        runs = await self.fleet.run_counts(self.service)
        self.assertEqual(runs["runs"][record.key], 1)

    def test_refusal_of_connections(self):
        """
        An upstream takes no connection for a while. Nothing was sent, so that the
        refusal "not run" is true, the caller comes back, and the call runs once.
        """
        self.runner.run(self._refusal_of_connections())

    async def _refusal_of_connections(self):
        await self.fleet.set_faults(self.service, {"refuse_ms": 500})
        record = await self.caller.book(_SERVICE, "/bookings", b"hall 3")
        self.assertIs(record.seen, Seen.WHOLE)
        self.assertTrue(all(refusal.not_run for refusal in record.refusals))
        runs = await self.fleet.run_counts(self.service)
        self.assertEqual(runs["runs"][record.key], 1)
