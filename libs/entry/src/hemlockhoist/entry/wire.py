"""What an entry host needs from the manner of speaking of callers and upstreams.

A platform's adapter implements ``WireFormat``; nothing here names a header or a path.
"""

import abc

import msgspec


class CallerCall(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request, as read from its head.

    Parameters
    ==========
    request_id : str
        The caller's own id of this attempt; empty where it gives none.
    method : str
    target : str
        Path and query, as the caller encoded them.
    host : str
        The name that the caller addressed.
    headers : tuple of (str, str)
        What is passed on to the upstream.
    key : str
        The caller's key; empty for none.
    max_wait_ms : int or None
        How long the caller will wait; None where it does not say.
    prompt_tokens, max_output_tokens : int
        0 where the request states none.
    states_tokens : bool
        Whether it states how many tokens it has.
    expected_output_tokens : int
        The caller's estimate; 0 for none.
    last_event_id : int or None
        Where the caller goes on reading a stream.
    prefix_blocks : tuple of (str, int)
        The parts of its prompt in order, as it names them, and their tokens.
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
    def path(self):
        """The path without its query."""
        return self.target.partition("?")[0]


class DirectoryQuery(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's question which hosts to use.

    Parameters
    ==========
    host : str
        The name under which its routes are declared; empty where it does not say.
    region : str
        Where it is; empty where it does not say.
    """

    host: str = ""
    region: str = ""


class UpstreamDirectives(msgspec.Struct, frozen=True, kw_only=True):
    """What the system itself tells the upstream with a request.

    Parameters
    ==========
    upstream_id : str
        The only run that may take the request.
    customer : str
        Empty for none.
    remaining_ms : int
        How long the answer is still wanted.
    last_event_id : int or None
        The last event that the caller has.
    """

    upstream_id: str
    customer: str
    remaining_ms: int
    last_event_id: int | None = None


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """What the head of an upstream's answer says.

    Parameters
    ==========
    status : int
    headers : tuple of (str, str)
        What is passed on to the caller.
    has_receipt : bool
        Whether it carries the upstream's receipt for its answer.
    is_not_run : bool
        Whether the upstream says that it did not run the request.
    is_misdirected : bool
        Whether it says that it is not the run that was asked for.
    running, waiting : int or None
        Requests that the upstream has, where it says so.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    has_receipt: bool = False
    is_not_run: bool = False
    is_misdirected: bool = False
    running: int | None = None
    waiting: int | None = None


class WireFormat(abc.ABC):
    """Names and formats of requests and answers."""

    @property
    @abc.abstractmethod
    def request_id_header(self):
        """The header that carries a request's id, and that answers echo."""

    @abc.abstractmethod
    def read_call(self, method, target, headers):
        """Return the ``CallerCall`` of a request's head.

        Raises
        ======
        BadRequest
            When a header that governs the request can not be read.
        """

    @abc.abstractmethod
    def upstream_headers(self, call, directives):
        """Return the headers of the request to the upstream.

        Parameters
        ==========
        call : CallerCall
        directives : UpstreamOrder
        """

    @abc.abstractmethod
    def read_answer(self, status, headers):
        """Return the ``AnswerHead`` of an upstream's answer."""

    @abc.abstractmethod
    def refusal_headers(self, call, retry_after_ms):
        """Return the headers of an answer of the system's own.

        Parameters
        ==========
        call : CallerCall or None
        retry_after_ms : int or None
        """
