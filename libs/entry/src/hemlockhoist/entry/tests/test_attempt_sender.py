import contextlib
import types
import unittest
from unittest import mock

from multidict import CIMultiDict

from hemlockhoist.base import InvariantLog, Refused, ResultCode
from hemlockhoist.decisions.entry import AttemptEnd
from hemlockhoist.entry.attempt_sender import AttemptSender
from hemlockhoist.upstreams import (
    REQUEST_ID_HEADER,
    DispatchRegister,
    UpstreamResponse,
)

EXPIRES_MS = 1_000
REQUEST_ID = "r1"


class RefusalTests(unittest.IsolatedAsyncioTestCase):
    """Refusals that say that an upstream did not run the request."""

    async def open(self, headers, is_reused, deadline_ms=EXPIRES_MS):
        """Send a request that is refused; return its sender and the attempt."""
        headers = CIMultiDict(headers)
        raw = types.SimpleNamespace(status=503, headers=headers, method="GET")

        @contextlib.asynccontextmanager
        async def dispatch(call, guard):
            guard.begin_dispatch()
            yield UpstreamResponse(raw, is_reused=is_reused)

        context, admitted = mock.MagicMock(), mock.MagicMock()
        context.clock.now_ms.return_value = 0
        context.register = DispatchRegister(InvariantLog(fatal=True))
        context.upstreams.dispatch = dispatch
        context.platform.wire.read_response_head.return_value = types.SimpleNamespace(
            status=503, is_misdirected=False, is_not_run=True, has_signature=False
        )
        admitted.deadline_ms = deadline_ms
        admitted.call.request_id = REQUEST_ID
        sender = AttemptSender(
            context, admitted, b"", mock.MagicMock(), REQUEST_ID, lambda: None
        )
        sender.signals = mock.MagicMock()
        hold = mock.MagicMock(expires_ms=EXPIRES_MS, grant_id="g1")
        opened = sender.new_attempt(hold, 0, 1)
        async with opened:
            await sender.open(opened)
        return sender, opened

    async def test_nothing_is_sent_after_the_time_limit(self):
        """Guards against a host that is behind and sends what nobody waits for."""
        with self.assertRaises(Refused) as caught:
            await self.open({}, False, deadline_ms=0)
        self.assertIs(caught.exception.code, ResultCode.DEADLINE_PASSED)

    async def test_refusal_of_another_request_is_not_believed(self):
        """Guards against a request that runs, and is sent again or refused as not run."""
        own, other = {REQUEST_ID_HEADER: REQUEST_ID}, {REQUEST_ID_HEADER: "r0"}
        for headers, is_reused, may_have_run, end in (
            ({}, False, False, AttemptEnd.NOT_RUN),
            (own, False, False, AttemptEnd.NOT_RUN),
            (own, True, False, AttemptEnd.NOT_RUN),
            ({}, True, True, AttemptEnd.NOT_RUN),
            (other, True, True, AttemptEnd.BROKEN),
            (other, False, True, AttemptEnd.BROKEN),
        ):
            with self.subTest(headers=headers, is_reused=is_reused):
                sender, opened = await self.open(headers, is_reused)
                self.assertIs(sender.may_have_run, may_have_run)
                self.assertIs(opened.attempt.may_have_run, may_have_run)
                self.assertIs(opened.end, end)
