"""The protocol of callers and upstreams, independent of header names and paths.

A platform's adapter implements ``WireFormat``; nothing here names a header or a path.
"""

import abc

import msgspec

from hemlockhoist.messages import NO_LIMIT


class CallerCall(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request, parsed from its head.

    Parameters
    ==========
    request_id : str
        The caller's id of this attempt; empty if it gives none.
    method : str
    target : str
        Path and query, in the caller's encoding.
    host : str
        The host name that the caller addressed.
    headers : tuple of (str, str)
        Headers that are forwarded to the upstream.
    key : str
        The caller's key; empty for none.
    max_wait_ms : int or None
        How long the caller will wait; None if it does not state it.
    prompt_tokens, max_output_tokens : int
        0 if the request does not state them.
    states_tokens : bool
        Whether the request states its token counts.
    expected_output_tokens : int
        The caller's estimate; 0 for none.
    last_event_id : int or None
        The event after which the caller resumes a stream.
    prefix_blocks : tuple of (str, int)
        Names and token counts of its prompt's prefix blocks, in order.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...] = ()
    key: str = ""
    max_wait_ms: int | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    states_tokens: bool = False
    expected_output_tokens: int = 0
    last_event_id: int | None = None
    prefix_blocks: tuple[tuple[str, int], ...] = ()

    @property
    def block_names(self):
        """Names of its prompt's prefix blocks, in order."""
        return tuple(name for name, _ in self.prefix_blocks)

    @property
    def path(self):
        """The path without the query."""
        return self.target.partition("?")[0]


class DirectoryQuery(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's query for the hosts to use.

    Parameters
    ==========
    host : str
        The host name under which its routes are declared; empty if not stated.
    region : str
        The caller's region; empty if not stated.
    """

    host: str = ""
    region: str = ""


class UpstreamDirectives(msgspec.Struct, frozen=True, kw_only=True):
    """Information that this system adds to a request to an upstream.

    Parameters
    ==========
    upstream_id : str
        The only upstream process that may accept the request.
    customer : str
        Name of the customer; empty for none.
    remaining_ms : int
        Time until the response is no longer needed.
    last_event_id : int or None
        The last event that the caller has received.
    """

    upstream_id: str
    customer: str
    remaining_ms: int
    last_event_id: int | None = None


class ResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """The parsed head of an upstream's response.

    Parameters
    ==========
    status : int
    headers : tuple of (str, str)
        Headers that are forwarded to the caller.
    has_signature : bool
        Whether the response carries the upstream's signature.
    is_not_run : bool
        Whether the upstream reports that it did not run the request.
    is_misdirected : bool
        Whether the upstream reports that it is not the addressed process.
    running, waiting : int or None
        Number of requests that the upstream runs and queues, if reported.
    limit_per_s : float or None
        Requests per second that the upstream takes from all hosts together;
        ``NO_LIMIT`` if it advertises no limit, None if the limit cannot be read.
    back_off_ms : int
        Time for which the upstream, which turned the request away, wants no requests
        from this host; 0 if it does not say so.
    is_leaving : bool
        Whether the upstream announces that it is about to stop.
    rejections_per_s : float or None
        How many requests a second the upstream, which is brittle, bears to turn away
        for want of room; ``NO_LIMIT`` if it is not brittle, None if it can't be read.
    is_rejection : bool
        Whether the upstream turned the request away for want of room.
    slowdown_percent : int or None
        The upstream's processing time in percent of the usual one, in
        ``SLOWDOWN_PERCENTS``; None if it is not reported or can't be read.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    has_signature: bool = False
    is_not_run: bool = False
    is_misdirected: bool = False
    running: int | None = None
    waiting: int | None = None
    limit_per_s: float | None = NO_LIMIT
    back_off_ms: int = 0
    is_leaving: bool = False
    rejections_per_s: float | None = NO_LIMIT
    is_rejection: bool = False
    slowdown_percent: int | None = None


class WireFormat(abc.ABC):
    """Names and formats of the headers of requests and responses."""

    @property
    @abc.abstractmethod
    def request_id_header(self):
        """The header that carries a request's id, and is echoed in responses."""

    @property
    def event_fields(self):
        """Names of the fields, as bytes, of events besides those of the format."""
        return frozenset()

    @abc.abstractmethod
    def read_call(self, method, target, headers):
        """Return the ``CallerCall`` of a request's head.

        Raises
        ======
        BadRequest
            If a header that governs the request cannot be parsed.
        """

    @abc.abstractmethod
    def upstream_headers(self, call, directives):
        """Return the headers of the request to the upstream.

        Parameters
        ==========
        call : CallerCall
        directives : UpstreamDirectives
        """

    @abc.abstractmethod
    def read_response_head(self, status, headers):
        """Return the ``ResponseHead`` of an upstream's response."""

    @abc.abstractmethod
    def refusal_headers(self, call, retry_after_ms):
        """Return the headers of a response generated by this system.

        Parameters
        ==========
        call : CallerCall or None
        retry_after_ms : int or None
        """
