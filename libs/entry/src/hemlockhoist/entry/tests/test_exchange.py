import math
import types
import unittest

from hemlockhoist.base import DispatchError, Refused, ResultCode
from hemlockhoist.entry.drain import Drain
from hemlockhoist.entry.exchange import Exchange


class EndingExchange(Exchange):
    """An exchange whose attempts end with an error."""

    __slots__ = ("error",)

    async def _run_attempts(self):
        raise self.error


def exchange(error, may_have_run, failed_response=None):
    async def close():
        pass

    found = object.__new__(EndingExchange)
    found.error = error
    found._context = types.SimpleNamespace(drain=Drain(None))
    found._relay = None
    found._admitted = types.SimpleNamespace(deadline_ms=math.inf)
    found._hedge = found._replacement = types.SimpleNamespace(close=close)
    found._sender = types.SimpleNamespace(
        may_have_run=may_have_run, drop_body=lambda: None
    )
    found._attempts = types.SimpleNamespace(
        failed_response=failed_response, unconfirmed=None
    )
    return found


class EndTests(unittest.IsolatedAsyncioTestCase):
    stale = Refused("", ResultCode.CONFIGURATION_STALE)

    async def test_refusal_after_a_sent_attempt_does_not_say_not_run(self):
        with self.assertRaises(DispatchError) as caught:
            await exchange(self.stale, may_have_run=True).run()
        self.assertIs(caught.exception.code, ResultCode.OUTCOME_UNKNOWN)
        failed = object()
        self.assertIs(await exchange(self.stale, True, failed).run(), failed)

    async def test_other_ends_keep_their_codes(self):
        """Guards against a time-out or a true refusal reported as an unknown outcome."""
        timeout = DispatchError("", ResultCode.UPSTREAM_TIMEOUT)
        for error, may_have_run in ((timeout, True), (self.stale, False)):
            with self.subTest(error), self.assertRaises(type(error)) as caught:
                await exchange(error, may_have_run, failed_response=object()).run()
            self.assertIs(caught.exception, error)
