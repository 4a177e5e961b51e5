import asyncio
import contextlib
import pathlib
import unittest

from hemlockhoist.declarations import parse_declarations
from hemlockhoist.standins.callers import Caller, CallerConfig, CallOutcome
from hemlockhoist.standins.consistency import RunCounts, check_consistency
from hemlockhoist.standins.fleet import Fleet, FleetConfig
from hemlockhoist.standins.operator_client import OperatorClient

_DECLARATIONS = pathlib.Path("examples/declarations.yaml")
_MODEL = "assistant"
_SERVICE = "reservations"


class _SingleHostFleet:
    """Runs one host, one engine and one service as processes, and a caller."""

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
        config = CallerConfig(seeds=seeds, key="demo-key-large", max_wait_ms=10_000)
        self.caller = Caller.from_config(config)
        await self.caller.start()
        await self.caller.chat(_MODEL, "first", 8)

    async def close(self):
        if self.caller is not None:
            await self.caller.close()
        await self.fleet.close()


class EndToEndTests(unittest.TestCase):
    """Shares the processes among all tests, as their start takes longer than a test."""

    @classmethod
    def setUpClass(cls):
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        cls.processes = _SingleHostFleet()
        cls.addClassCleanup(lambda: cls.runner.run(cls.processes.close()))
        cls.runner.run(cls.processes.start())
        (cls.engine,) = cls.processes.fleet.upstreams(_MODEL)
        (cls.service,) = cls.processes.fleet.upstreams(_SERVICE)
        cls.fleet, cls.caller = cls.processes.fleet, cls.processes.caller

    async def _assert_complete_answer(self, stream=True):
        record = await self.caller.chat(_MODEL, "second", 8, stream)
        self.assertIs(record.outcome, CallOutcome.WHOLE, record)
        self.assertEqual((record.attempts, record.resends), (1, 0))
        reports = [await self.fleet.run_counts(item) for item in self.fleet.upstreams()]
        found = check_consistency([record], RunCounts(reports), 3_000, False)
        self.assertEqual(found, [])

    def test_answers_of_another_request_are_detected(self):
        """
        Guards against passing on another request's answer when an engine confuses two
        answers, entirely or from some piece on. The host detects it by the ids in the
        head and the pieces, and fetches the right pieces from the engine.
        """
        self.runner.run(self._answers_of_another_request())

    async def _answers_of_another_request(self):
        for at_piece in (0, 3):
            for stream in (True, False):
                faults = {"cross_streams": 1, "cross_at_piece": at_piece}
                await self.fleet.set_faults(self.engine, faults)
                await self._assert_complete_answer(stream)

    def test_prompt_that_crashes_engines_is_not_sent_any_more(self):
        """Guards against prompts that crash one engine after the other."""
        self.runner.run(self._crash_engine())

    async def _crash_engine(self):
        before = (await self.fleet.run_counts(self.engine))["crashes"]
        faults = {"crash_text": "poisoned", "crash_down_ms": 900}
        await self.fleet.set_faults(self.engine, faults)
        document = "poisoned ".ljust(1_100, "x")
        for number in range(5):
            record = await self.caller.chat(_MODEL, f"{document}{number}", 8)
            self.assertIsNot(record.outcome, CallOutcome.WHOLE)
            await asyncio.sleep(1.0)
        self.assertIs(record.outcome, CallOutcome.REFUSED, record)
        counts = await self.fleet.run_counts(self.engine)
        self.assertLessEqual(counts["crashes"] - before, 5)
        await self.fleet.set_faults(self.engine, {})
        await self._assert_complete_answer()

    def test_chat_sent_again_crashes_three_engines_at_most(self):
        """Guards against a chat that is new each time that its caller sends it."""
        self.runner.run(self._crash_engine_in_the_middle())

    async def _crash_engine_in_the_middle(self):
        before = (await self.fleet.run_counts(self.engine))["crashes"]
        faults = {
            "crash_text": "harmful",
            "crash_after_pieces": 3,
            "crash_down_ms": 900,
        }
        await self.fleet.set_faults(self.engine, faults)
        for _ in range(5):
            record = await self.caller.chat(_MODEL, "harmful", 8)
            self.assertIsNot(record.outcome, CallOutcome.WHOLE)
            await asyncio.sleep(1.0)
        counts = await self.fleet.run_counts(self.engine)
        self.assertEqual(counts["crashes"] - before, 3)
        self.assertIs(record.outcome, CallOutcome.REFUSED, record)
        await self.fleet.set_faults(self.engine, {})
        await self._assert_complete_answer()

    def test_chat_whose_caller_leaves_crashes_three_engines_at_most(self):
        """Guards against ends that nobody looks for once the caller has left."""
        self.runner.run(self._leave_before_the_crash())

    async def _leave_before_the_crash(self):
        before = (await self.fleet.run_counts(self.engine))["crashes"]
        faults = {"crash_text": "hurtful", "crash_delay_ms": 400, "crash_down_ms": 900}
        await self.fleet.set_faults(self.engine, faults)
        for _ in range(5):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.2):
                    await self.caller.chat(_MODEL, "hurtful", 8)
            await asyncio.sleep(1.6)
        counts = await self.fleet.run_counts(self.engine)
        self.assertEqual(counts["crashes"] - before, 3)
        await self.fleet.set_faults(self.engine, {})
        await self._assert_complete_answer()

    def test_broken_streams_are_resumed(self):
        """
        Guards against cut or repeated output when the connection to an engine breaks
        during an answer, before its first piece, or repeatedly, and the resumed stream
        repeats or skips a piece. The caller gets one whole answer of one run.
        """
        self.runner.run(self._resume_broken_streams())

    async def _resume_broken_streams(self):
        for pieces, times, shift in (3, 1, 0), (0, 1, 0), (2, 3, -1), (3, 1, 2):
            faults = {
                "break_streams": times,
                "break_after_pieces": pieces,
                "shift_resumes": 1,
                "resume_shift": shift,
            }
            await self.fleet.set_faults(self.engine, faults)
            await self._assert_complete_answer()

    def test_lost_booking_answer_is_unknown_and_not_run_again(self):
        """
        Guards against a second booking when a service runs the first and its connection
        breaks before the answer. The outcome is unknown; a retry with the same key must
        not run the booking again, and reports the same.
        """
        self.runner.run(self._lose_booking_answer())

    async def _lose_booking_answer(self):
        await self.fleet.set_faults(self.service, {"drop_after": 1})
        record = await self.caller.book(_SERVICE, "/bookings", b"hall 3")
        self.assertIs(record.outcome, CallOutcome.UNKNOWN)
        host = await self.caller.directory.pick()
        headers = {**self.caller.headers, "Idempotency-Key": record.key}
        url = f"http://{host}/services/{_SERVICE}/bookings"
        async with self.caller.session.post(
            url, data=b"hall 3", headers=headers
        ) as response:
            self.assertEqual(response.headers["X-Request-Ran"], "outcome unknown")
        runs = await self.fleet.run_counts(self.service)
        self.assertEqual(runs["runs"][record.key], 1)

    def test_refused_connection_is_reported_as_not_run(self):
        """
        While an upstream refuses connections, nothing is sent, so the refusal "not run"
        is true. The caller retries and the call runs once.
        """
        self.runner.run(self._refuse_connections())

    async def _refuse_connections(self):
        await self.fleet.set_faults(self.service, {"refuse_ms": 500})
        record = await self.caller.book(_SERVICE, "/bookings", b"hall 3")
        self.assertIs(record.outcome, CallOutcome.WHOLE)
        self.assertTrue(all(refusal.not_run for refusal in record.refusals))
        runs = await self.fleet.run_counts(self.service)
        self.assertEqual(runs["runs"][record.key], 1)
