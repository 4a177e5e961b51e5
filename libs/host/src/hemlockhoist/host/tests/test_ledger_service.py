import asyncio

from hemlockhoist.base import Clock, DispatchError, InvariantLog, Refused, ResultCode
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions.ledger import KeyLedger, fingerprint_request
from hemlockhoist.host.ledger_service import LedgerService
from hemlockhoist.messages import Handover, StoredAnswer

FINGERPRINT = fingerprint_request("POST", "/bookings", b"hall 7")
ANSWER = StoredAnswer(status=200, body=b"booked")
HOUR_MS = 3_600_000


class LedgerServiceTests(PausedTestCase):
    async def asyncSetUp(self):
        self.clock = Clock(asyncio.get_running_loop())
        self.services = {}
        self.delay_ms = 1
        self.runs = 0
        self.a = self._service("a")
        self.b = self._service("b")

    def _service(self, name):
        log = InvariantLog(fatal=True)
        ledger = KeyLedger.from_config(name, HOUR_MS, 100, 10_000, log)

        def send(host, message):
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay_ms / 1000, self._deliver, name, host, message)

        service = LedgerService(ledger, self.clock, send, self._host_of)
        self.services[name] = service
        return service

    def _host_of(self, incarnation):
        return incarnation if incarnation in self.services else ""

    def _deliver(self, sender, host, message):
        if host in self.services:
            self.services[host].on_message(sender, message)

    async def _book(self, service, key, outcome=ANSWER):
        claim = await service.claim("office", key, FINGERPRINT)
        if claim.answer is not None:
            return claim.answer

        async def dispatch(on_dispatch):
            if isinstance(outcome, Refused):
                raise outcome
            on_dispatch()
            self.runs += 1
            if isinstance(outcome, Exception):
                raise outcome
            return outcome

        return await service.run(claim.attempt, dispatch)

    async def _assert_code(self, code, call):
        with self.assertRaises((DispatchError, Refused)) as caught:
            await call
        self.assertIs(caught.exception.code, code)

    async def test_call_repeated_at_another_host_gets_the_answer(self):
        """A call that ran at one host is answered at another and runs only once."""
        key = self.a.mint_prefix() + ".1"
        await self._book(self.a, key)
        self.assertEqual(await self._book(self.b, key), ANSWER)
        self.assertEqual(self.runs, 1)

    async def test_unused_key_may_run_at_another_host(self):
        """A caller uses a key prefix of one host while connected to another."""
        key = self.a.mint_prefix() + ".1"
        self.assertEqual(await self._book(self.b, key), ANSWER)
        self.assertEqual(await self._book(self.a, key), ANSWER)
        self.assertEqual(self.runs, 1)

    async def test_key_of_a_dead_host_has_an_unknown_outcome(self):
        """The host that minted a key is dead, so the call may have run there.

        The caller gets "outcome unknown" at once, and nothing runs.
        """
        key = self.a.mint_prefix() + ".1"
        del self.services["a"]
        before_ms = self.clock.now_ms()
        await self._assert_code(ResultCode.OUTCOME_UNKNOWN, self._book(self.b, key))
        self.assertLess(self.clock.now_ms() - before_ms, 100)
        self.assertEqual(self.runs, 0)

    async def test_refused_call_runs_when_repeated(self):
        """A call that was refused before its dispatch runs when it is repeated."""
        key = self.a.mint_prefix() + ".1"
        refusal = Refused("", ResultCode.OVERLOADED)
        await self._assert_code(ResultCode.OVERLOADED, self._book(self.a, key, refusal))
        self.assertEqual(await self._book(self.a, key), ANSWER)
        self.assertEqual(self.runs, 1)

    async def test_outcome_of_a_broken_call_stays_unknown(self):
        """After a broken connection no repeat at either host runs the call again."""
        key = self.a.mint_prefix() + ".1"
        broken = DispatchError("", ResultCode.OUTCOME_UNKNOWN)
        for service in (self.a, self.a, self.b):
            await self._assert_code(
                ResultCode.OUTCOME_UNKNOWN, self._book(service, key, broken)
            )
        self.assertEqual(self.runs, 1)

    async def test_key_is_usable_after_a_caller_disconnects_as_the_reply_arrives(self):
        """Guards against a key that stays "in progress" for ever.

        The reply that grants the key has arrived, and its caller disconnects before the
        lookup goes on.
        """
        key = self.a.mint_prefix() + ".1"
        claim = asyncio.create_task(self.b.claim("office", key, FINGERPRINT))
        deliver = self._deliver

        def deliver_and_disconnect(sender, host, message):
            deliver(sender, host, message)
            if host == "b":
                claim.cancel()

        self._deliver = deliver_and_disconnect
        await asyncio.gather(claim, return_exceptions=True)
        self._deliver = deliver
        self.assertTrue(claim.cancelled())
        self.assertEqual(await self._book(self.b, key), ANSWER)
        self.assertEqual(self.runs, 1)

    async def test_key_is_usable_after_a_caller_disconnects_during_a_lookup(self):
        """A caller disconnects while its host looks its key up at another host.

        The key was granted but not used, stayed "in progress" forever, and the call
        could never be made. The next attempt has to run it.
        """
        key = self.a.mint_prefix() + ".1"
        self.delay_ms = 50
        task = asyncio.create_task(self._book(self.b, key))
        await asyncio.sleep(0.06)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(1)
        self.assertEqual(await self._book(self.b, key), ANSWER)
        self.assertEqual(self.runs, 1)

    async def test_handover_to_another_incarnation_is_ignored(self):
        """A part of a ledger sent to an earlier incarnation is not acknowledged."""
        message = Handover(leaver="a", successor="gone", part=0, part_count=1)
        self.b.on_message("a", message)

    async def test_successor_answers_after_a_handover(self):
        """After a planned stop the successor answers calls with the leaver's keys."""
        key = self.a.mint_prefix() + ".1"
        await self._book(self.a, key)
        self.assertTrue(await self.a.hand_over("b"))
        del self.services["a"]
        self.assertEqual(await self._book(self.b, key), ANSWER)
        self.assertEqual(self.runs, 1)

    async def test_call_during_a_handover_runs(self):
        """Guards against "outcome unknown" for a call that never ran.

        The call reaches the leaver while its ledger is in transit. The first copy of
        the ledger is lost, so the confirmation comes with the next one.
        """
        key = self.a.mint_prefix() + ".1"
        deliver, lost = self._deliver, []

        def lose_first(sender, host, message):
            if isinstance(message, Handover) and not lost:
                lost.append(message)
                return
            deliver(sender, host, message)

        self._deliver = lose_first
        handover = asyncio.create_task(self.a.hand_over("b"))
        await asyncio.sleep(0)
        self.assertEqual(await self._book(self.a, key), ANSWER)
        self.assertTrue(await handover)
        self.assertEqual(await self._book(self.b, key), ANSWER)
        self.assertEqual((self.runs, len(lost)), (1, 1))

    async def test_call_at_the_successor_during_a_handover_runs(self):
        """Guards against a lookup that waits for a key that has already arrived."""
        key = self.a.mint_prefix() + ".1"
        self.delay_ms = 5
        handover = asyncio.create_task(self.a.hand_over("b"))
        await asyncio.sleep(0)
        self.assertEqual(await self._book(self.b, key), ANSWER)
        self.assertTrue(await handover)
        self.assertEqual(self.runs, 1)

    async def test_call_at_a_leaver_without_a_successor_is_in_progress(self):
        """The successor is dead: the caller is told to repeat the call, not "unknown"."""
        key = self.a.mint_prefix() + ".1"
        handover = asyncio.create_task(self.a.hand_over("b"))
        self._deliver = lambda sender, host, message: None
        await asyncio.sleep(0)
        await self._assert_code(ResultCode.IN_PROGRESS, self._book(self.a, key))
        self.assertFalse(await handover)
        self.assertEqual(self.runs, 0)

    async def test_lookup_of_an_ended_incarnation_is_unknown(self):
        """A lookup sent to the incarnation before a restart never yields "unused"."""
        key = self.a.mint_prefix() + ".1"
        restarted = self._service("a2")
        self.services["a"] = restarted
        await self._assert_code(ResultCode.OUTCOME_UNKNOWN, self._book(self.b, key))
        self.assertEqual(self.runs, 0)
