"""Plain-service call of a simulated caller, with retries."""

import asyncio
import uuid

import aiohttp
import msgspec

from hemlockhoist.standins.callers.directory import HostQueryRefused, NoHostAnswered
from hemlockhoist.standins.callers.records import MAX_RESENDS, CallOutcome, RequestKind
from hemlockhoist.standins.callers.responses import read_refusal
from hemlockhoist.standins.service import expected_reply

_SERVICES_PATH = "/services/"
_RETRY_DELAY_MS = 100
_MS_PER_S = 1000


class _Reply(msgspec.Struct):
    reply: str


class ServiceCall:
    """One lookup or booking over all its attempts.

    A booking has an idempotency key that begins with the prefix of the host it is first
    sent to. All attempts use the same key, whichever host they go to.

    Parameters
    ==========
    caller : Caller
    record : CallRecord
    service, method, path : str
    body : bytes
    """

    __slots__ = (
        "_body",
        "_caller",
        "_method",
        "_path",
        "_record",
        "_response_lost",
        "_service",
    )

    def __init__(self, caller, record, service, method, path, body):
        self._caller = caller
        self._record = record
        self._service = service
        self._method = method
        self._path = path
        self._body = body
        # Whether an attempt was sent whose response never came.
        self._response_lost = False

    async def run(self):
        """Make attempts until the call ends, and record its outcome."""
        while True:
            delay_ms = await self._attempt()
            if delay_ms is None:
                return
            await asyncio.sleep(delay_ms / _MS_PER_S)

    def record_timeout(self):
        """Record the outcome when the caller's wait limit is reached."""
        refused = self._record.refusals and self._record.refusals[-1].not_run
        did_not_run = refused and not self._response_lost
        self._record.outcome = (
            CallOutcome.REFUSED if did_not_run else CallOutcome.UNKNOWN
        )

    async def _attempt(self):
        directory = self._caller.directory
        try:
            host = await directory.pick()
            await self._assign_key(host)
        except NoHostAnswered:
            return _RETRY_DELAY_MS
        except HostQueryRefused as error:
            return self._end_with_refusal(error.refusal)
        try:
            return await self._exchange(host)
        except aiohttp.ClientConnectorError:
            directory.record_failure(host)
            return _RETRY_DELAY_MS
        except (aiohttp.ClientError, TimeoutError, OSError):
            self._response_lost = True
            directory.record_failure(host)
            return _RETRY_DELAY_MS

    async def _assign_key(self, host):
        if self._record.kind is RequestKind.BOOKING and not self._record.key:
            prefix = await self._caller.directory.key_prefix(host)
            self._record.key = f"{prefix}.{uuid.uuid4().hex}"

    async def _exchange(self, host):
        self._record.attempts += 1
        headers = dict(self._caller.headers)
        if self._record.key:
            headers["Idempotency-Key"] = self._record.key
        url = f"http://{host}{_SERVICES_PATH}{self._service}{self._path}"
        async with self._caller.session.request(
            self._method, url, data=self._body, headers=headers
        ) as response:
            if response.status != 200:
                return await self._handle_refusal(response)
            body = await response.read()
            self._record.request_ids.append(response.headers.get("X-Request-Id", ""))
            version = response.headers.get("X-Upstream-Version", "")
            self._record.upstream_version = version
        self._finish(body)
        return None

    def _finish(self, body):
        record = self._record
        record.first_output_ms = self._caller.clock.now_ms() - record.started_ms
        reply = msgspec.json.decode(body, type=_Reply).reply
        is_expected = reply == expected_reply(self._method, self._path, self._body)
        record.outcome = CallOutcome.WHOLE if is_expected else CallOutcome.WRONG

    async def _handle_refusal(self, response):
        refusal = await read_refusal(response)
        if refusal.retry_after_ms < 0:
            return self._end_with_refusal(refusal)
        self._record.refusals.append(refusal)
        return refusal.retry_after_ms

    def _end_with_refusal(self, refusal):
        record = self._record
        record.refusals.append(refusal)
        if refusal.not_run and not self._response_lost:
            record.outcome = CallOutcome.REFUSED
        elif record.kind is RequestKind.LOOKUP and record.resends < MAX_RESENDS:
            record.resends += 1
            return _RETRY_DELAY_MS
        elif refusal.ran == "run":
            record.outcome = CallOutcome.FAILED
        else:
            record.outcome = CallOutcome.UNKNOWN
        return None
