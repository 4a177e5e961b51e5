"""Relaying of a stream's events to the caller, from one upstream or several."""

import asyncio
import statistics

from aiohttp import HttpVersion11

from hemlockhoist.base import DispatchError, ResultCode
from hemlockhoist.entry.events import EventReader
from hemlockhoist.entry.read_ahead import ReadAhead
from hemlockhoist.entry.responses import add_headers
from hemlockhoist.entry.stalls import StallWatchdog, always_replaced
from hemlockhoist.entry.stream_end import StreamEnd
from hemlockhoist.listeners import StreamedResponse, UnframedResponse
from hemlockhoist.upstreams import AnswerNotBegun, BodyEnd, part_limit_ms

US_PER_MS = 1_000
# Silence after which another upstream is sought for a resumable stream. It detects an
# upstream that no longer sends anything, which nothing else shows while callers wait. A
# shorter limit would have another upstream run what one runs that is computing another
# request's long prompt, or pauses.
MIN_STALL_MS = 2_000
GAP_FACTOR = 2
# The other upstream needs the rest of the time for which callers wait.
MAX_STALL_SHARE = 0.75
# The same, where new connections to the upstream fail; open ones may live on.
LOST_LINK_STALL_MS = 400
# Before the first event, an upstream may have a long prompt to compute, of this request
# or of those ahead of it. The slowest engines observed compute about 12 tokens per
# millisecond.
MIN_FIRST_STALL_MS = 2_500
SLOWEST_TOKENS_PER_MS = 8
# An upstream may abort a response that its host has not read for this long.
LONG_WAIT_MS = 1_000
# Long events are written in parts of this size. The event loop keeps the whole of what
# was written at a time until the last byte of it has left, while only the rest counts as
# buffered. Usual events are far shorter.
PART_BYTES = 32_768


class StreamRelay:
    """Relays one stream to its caller, possibly from several upstreams in turn.

    Parameters
    ==========
    request : aiohttp.web.BaseRequest
    admitted : AdmittedCall
    clock : Clock
    buffer : CallerBuffer
    is_leaving : callable, optional
        Whether this host is about to close its callers' connections.
    find_replacement : callable, optional
        See ``StallWatchdog``.
    event_fields : frozenset of bytes, optional
        See ``WireFormat``.
    """

    __slots__ = (
        "_admitted",
        "_buffer",
        "_caller_response",
        "_clock",
        "_end",
        "_event_begin_ms",
        "_event_fields",
        "_event_gaps_us",
        "_find_replacement",
        "_has_waited_long",
        "_head",
        "_is_aborted_unread",
        "_is_leaving",
        "_is_paused",
        "_last_data_ms",
        "_last_event_ms",
        "_longest_gap_ms",
        "_reader",
        "_request",
        "_response",
        "_unwritten",
        "_watchdog",
        "event_count",
        "passed_ms",
    )

    def __init__(
        self,
        request,
        admitted,
        clock,
        buffer,
        is_leaving=lambda: False,
        find_replacement=always_replaced,
        event_fields=frozenset(),
    ):
        self._buffer = buffer
        self._is_leaving = is_leaving
        self._find_replacement = find_replacement
        self._request = request
        self._admitted = admitted
        self._clock = clock
        self._event_fields = event_fields
        self._reader = EventReader(admitted.call.last_event_id, event_fields)
        self._end = StreamEnd()
        # Of the upstream's response that is relayed now.
        self._head = None
        self._caller_response = None
        # The upstream's response that is relayed now.
        self._response = None
        self._is_paused = False
        # Parts of complete events, the next to be written last.
        self._unwritten = []
        self._event_begin_ms = None
        self._event_gaps_us = []
        self._last_data_ms = None
        self._last_event_ms = None
        self._longest_gap_ms = 0
        self._watchdog = None
        # Whether the caller was waited for since the upstream's last data, for so long
        # that the upstream may have aborted its response.
        self._has_waited_long = False
        self._is_aborted_unread = False
        self.event_count = 0
        # When the caller was last sent something; None before the response began.
        self.passed_ms = None

    def on_link_lost(self):
        """Seek another upstream soon if nothing more arrives from the present one."""
        if self._watchdog is not None:
            self._watchdog.on_link_lost(LOST_LINK_STALL_MS)

    @property
    def started(self):
        """Whether any part of the response has been sent to the caller."""
        return self._caller_response is not None

    @property
    def last_event_id(self):
        """The id of the last event that the caller has received, or None."""
        return self._reader.last_number

    @property
    def is_end_uncertain(self):
        """Whether all events have been passed on, or some are missing at the end."""
        return self._end.is_uncertain

    def reject_end(self):
        """Take a stream that seemed to have ended for broken off."""
        self._end.reject()

    def read_ahead(self, response):
        """Return a ``ReadAhead`` of a continuation at another upstream."""
        reader = EventReader(self._reader.last_number, self._event_fields)
        return ReadAhead(response, reader)

    @property
    def may_have_ended(self):
        """Whether a silent upstream may have sent all of its stream.

        Its answer states no end, and all that came of it has been passed on. One that
        announced a last chunk has more to send.
        """
        return (
            self.event_count > 0
            and not self._response.body_end.is_certain
            and self._reader.is_between_events
            and not (self._is_paused or self._held_bytes())
            and self._end.may_be_here
        )

    def on_nothing_follows(self):
        """Record that another upstream has shown no more events, without proof."""
        self._end.on_end(False, BodyEnd.CONNECTION)

    @property
    def is_caller_slow(self):
        """Whether the caller is waited for, or was when its stream ended.

        Also whether the upstream broke off right after the caller was waited for, as an
        upstream aborts a response that stays unread.
        """
        return self._buffer.is_waiting or self._is_aborted_unread

    async def relay(self, response, head, on_first, read_ahead=None):
        """Relay an upstream's events until the end of its stream.

        Parameters
        ==========
        response : UpstreamResponse
        head : ResponseHead
            Head of this upstream's response; the caller gets that of the first one.
        on_first : callable
            Called without arguments when the first data of this upstream arrives.
        read_ahead : ReadAhead, optional
            If a part of the response has been read.

        Returns
        =======
        aiohttp.web.StreamResponse or None
            None if the stream has ended in order, without proof that it is whole.

        Raises
        ======
        DispatchError
            If the stream broke off, or stalled and can be resumed elsewhere.
        """
        self._reader.restart()
        self._response = response
        self._head = head
        self._is_paused = False
        self._event_begin_ms = None
        self._event_gaps_us = []
        self._last_data_ms = None
        self._last_event_ms = None
        self._longest_gap_ms = 0
        self._has_waited_long = self._is_aborted_unread = False
        first = True
        limit_ms = (
            self.first_data_limit_ms if self._admitted.route.is_resumable else None
        )
        watchdog = self._watchdog = StallWatchdog(
            response, limit_ms, self._clock, self._find_replacement
        )
        watchdog.start()
        try:
            async for chunk in (read_ahead or response).chunks():
                if first:
                    on_first()
                    first = False
                self._last_data_ms = self._clock.now_ms()
                self._has_waited_long = False
                watchdog.on_progress(self._stall_limit_ms())
                events = self._reader.feed(chunk)
                self._check_event_time(events)
                count = len(events)
                if count:
                    self._unwritten = _parts(events)
                # Otherwise they would be kept while the caller is waited for, beside
                # what is accounted.
                del chunk, events
                if count:
                    await self._write(count)
                if self._reader.error is not None:
                    raise self._reader.error
        except DispatchError as error:
            if isinstance(error, AnswerNotBegun) and self._end.is_uncertain:
                # Nothing follows, by an end that proves as little as the one before.
                return None
            self._end.on_break(self._reader.shows_rest, response.body_end)
            classified = watchdog.classify_error(error)
            is_break = classified.code is ResultCode.UPSTREAM_BROKE_OFF
            if is_break and error is not self._reader.error:
                self._is_aborted_unread = self._has_waited_long
            raise classified from error
        except asyncio.CancelledError:
            # Failure prevented: the deadline passes in the middle of an event, and the
            # stream ends in order after the event before it.
            if not self._reader.is_between_events:
                self._end.on_break(True, response.body_end)
            raise
        finally:
            watchdog.close()
            self._watchdog = None
        reader = self._reader
        self._end.on_end(
            not reader.is_between_events, response.body_end, reader.is_behind
        )
        return None if self._end.is_uncertain else await self.finish()

    @property
    def first_data_limit_ms(self):
        """Return the time within which an upstream's first data should arrive."""
        prompt_ms = self._admitted.call.prompt_tokens // SLOWEST_TOKENS_PER_MS
        return MIN_FIRST_STALL_MS + prompt_ms

    def _stall_limit_ms(self):
        """Return the silence after which another upstream is sought; None for never."""
        route = self._admitted.route
        if not route.is_resumable:
            return None
        limit_ms = max(MIN_STALL_MS, GAP_FACTOR * route.max_gap_ms)
        if route.caller_wait_limit_ms:
            limit_ms = min(limit_ms, MAX_STALL_SHARE * route.caller_wait_limit_ms)
        return limit_ms

    def _check_event_time(self, events):
        """Check that an event that has begun ends in time.

        Failure prevented: an event that trickles without end counts as progress, and
        holds its stream until the deadline.

        Raises
        ======
        DispatchError
        """
        if self._reader.is_between_events:
            self._event_begin_ms = None
        elif events or self._event_begin_ms is None:
            self._event_begin_ms = self._last_data_ms
        else:
            remaining_ms = self._admitted.deadline_ms - self._event_begin_ms
            limit_ms = part_limit_ms(remaining_ms)
            if self._last_data_ms - self._event_begin_ms > limit_ms:
                text = f"an event that did not end within {limit_ms:.0f} ms"
                raise DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)

    async def _write(self, count):
        """Send events to the caller, and wait for it if it does not take them.

        Parameters
        ==========
        count : int
            Number of the events.
        """
        self._end.on_events()
        if self._caller_response is None:
            await self._start_response()
        await self._caller_response.write(self._unwritten.pop())
        self.passed_ms = self._clock.now_ms()
        if self._unwritten or self._buffer.needs_check:
            await self._write_rest()
        self.event_count += count
        self._record_gap(count)

    async def _write_rest(self):
        """Wait for the caller, and send it the other parts of long events."""
        begin_ms = self.passed_ms
        await self._buffer.wait_below_limit(self._on_caller_waits, self._held_bytes)
        while self._unwritten:
            # The event loop writes before the next part, and so apart from it.
            await asyncio.sleep(0)
            await self._caller_response.write(self._unwritten.pop())
            await self._buffer.wait_below_limit(self._on_caller_waits, self._held_bytes)
        if self._is_paused:
            self._is_paused = False
            self._response.resume()
        self.passed_ms = self._clock.now_ms()
        self._has_waited_long = self.passed_ms - begin_ms >= LONG_WAIT_MS

    def _held_bytes(self):
        """Return the size of what the upstream sent that is not written yet."""
        unwritten_bytes = sum(map(len, self._unwritten))
        incomplete_bytes = self._reader.incomplete_bytes
        return unwritten_bytes + incomplete_bytes + self._response.unread_bytes

    def _on_caller_waits(self):
        """Stop reading the upstream, and keep it from looking like a silent one.

        The HTTP library by itself would read on, up to some 300 KB for each stream.
        """
        if not self._is_paused:
            self._is_paused = True
            self._response.pause()
        if self._watchdog is not None:
            self._watchdog.on_progress(self._stall_limit_ms())

    def _record_gap(self, count):
        now_ms = self.passed_ms
        if self._last_event_ms is not None:
            gap_ms = now_ms - self._last_event_ms
            self._longest_gap_ms = max(self._longest_gap_ms, gap_ms)
            self._event_gaps_us.append(gap_ms * US_PER_MS // count)
        self._last_event_ms = now_ms

    @property
    def longest_gap_ms(self):
        """The longest gap between this upstream's events; 0 before the second one."""
        return self._longest_gap_ms

    def silent_ms(self):
        """Return the time since this upstream's last data, or -1 if there was none."""
        if self._last_data_ms is None:
            return -1
        return self._clock.now_ms() - self._last_data_ms

    def median_event_us(self):
        """Return the median time between this upstream's events, or -1.

        The median excludes long gaps, which occur while the engine computes prompts of
        other requests and do not reflect its speed.
        """
        if not self._event_gaps_us:
            return -1
        return int(statistics.median(self._event_gaps_us))

    async def _start_response(self):
        caller_response = self._new_response()
        add_headers(caller_response, self._head.headers)
        if self._is_leaving():
            caller_response.force_close()
        await caller_response.prepare(self._request)
        self._caller_response = caller_response
        self.passed_ms = self._clock.now_ms()

    def _new_response(self):
        """Return a response that states no more about its end than is known."""
        states_end = self._response.body_end.is_certain and not self._end.is_uncertain
        if states_end and self._request.version >= HttpVersion11:
            return StreamedResponse(status=self._head.status)
        return UnframedResponse(self._head.status, ends_itself=False)

    @property
    def _is_unframed(self):
        return isinstance(self._caller_response, UnframedResponse)

    @property
    def may_end_uncertain(self):
        """Whether the response to the caller can end without saying that it is whole."""
        return self._caller_response is None or self._is_unframed

    async def finish(self):
        """End the response in order.

        An unframed one ends with its connection, once the caller has been sent all.

        Returns
        =======
        aiohttp.web.StreamResponse
        """
        if self._caller_response is None:
            await self._start_response()
        await self._caller_response.write_eof()
        return self._caller_response

    def drop_data(self):
        """Drop what was not passed on once the stream has ended."""
        self._reader.restart()
        self._unwritten.clear()
        self._response = None

    def abort(self, at_once=False):
        """Abort a response that cannot be finished, so that it does not look complete.

        The last chunk is omitted and the connection closed: the caller detects the
        broken stream and may resume it after its last event.

        Parameters
        ==========
        at_once : bool, optional
            Whether to drop what the caller has not taken yet.
        """
        if at_once:
            self._buffer.abort()
        else:
            self._buffer.close()
        return self._caller_response


def _parts(events):
    """Return the parts in which events are written, the first one last."""
    if len(events) == 1:
        data = events[0].raw
    else:
        data = b"".join([event.raw for event in events])
    if len(data) <= PART_BYTES:
        return [data]
    begins = range(0, len(data), PART_BYTES)
    return [data[begin : begin + PART_BYTES] for begin in reversed(begins)]
