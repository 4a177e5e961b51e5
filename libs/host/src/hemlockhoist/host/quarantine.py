"""What crashes upstreams, as far as this host knows, and what it tells the others."""

from hemlockhoist.base import get_logger
from hemlockhoist.base.metrics import Metrics
from hemlockhoist.base.metrics_table import PARTS_BLOCKED, REQUESTS_KEPT_BACK
from hemlockhoist.decisions.quarantine import (
    BLOCKED_CRASHES,
    OpenCopies,
    Quarantine,
)
from hemlockhoist.messages import PartRecords, PartState

_log = get_logger("host.quarantine")

_EVENTS = {
    PartState.CLEAR: "cleared",
    PartState.SUSPECTED: "suspected",
    PartState.BLOCKED: "blocked",
}
# Hosts that are told of a first crash under a request. New homes ask all hosts.
MAX_TOLD_OF_FIRST_CRASH = 16
# Records that a host reports to a new home; the store has the parts that matter.
MAX_REPORTED_PARTS = 32
MAX_REPORTED_REQUESTS = 64


class QuarantineService:
    """Applies the evidence against parts and requests, and tells others of changes.

    Each host holds all of it, so that none begins from nothing when it becomes the home
    of a pool, or grants its own requests alone. Crashes are rare. Of a first crash
    under a request, which is mostly chance, few hosts are told.

    Parameters
    ==========
    clock : Clock
    host : str, optional
        This host's incarnation.
    send : callable, optional
        ``send(host_id, message)``.
    other_hosts : callable, optional
        Returns the ids of the other live hosts.
    metrics : Metrics, optional

    Attributes
    ==========
    on_changed : callable
        ``on_changed(records)`` is called with all records that changed here.
    on_decided : callable
        ``on_decided(records)`` is called with those that changed by evidence of this
        host, or by its operators.
    on_deciding : callable
        Called when this host begins to schedule a pool, as its home or alone.
    """

    __slots__ = (
        "_clock",
        "_copies",
        "_metrics",
        "_other_hosts",
        "_quarantine",
        "_send",
        "_states",
        "on_changed",
        "on_decided",
        "on_deciding",
    )

    def __init__(
        self,
        clock,
        host="",
        send=lambda host_id, message: None,
        other_hosts=tuple,
        metrics=None,
    ):
        self._clock = clock
        self._send = send
        self._other_hosts = other_hosts
        self._metrics = metrics or Metrics(None)
        self._quarantine = Quarantine(host)
        self._copies = OpenCopies()
        # The state of each part that was logged last.
        self._states = {}
        self.on_changed = lambda records: None
        self.on_decided = lambda records: None
        self.on_deciding = lambda: None

    def records(self):
        """Return the records of all parts with evidence against them."""
        return self._quarantine.records()

    def update_gauges(self):
        """Set the gauges of this host."""
        blocked = sum(item.state == PartState.BLOCKED for item in self.records())
        self._metrics.gauge(PARTS_BLOCKED, blocked)

    def record_of(self, part):
        """Return the record of a part; an empty one without evidence."""
        return self._quarantine.record_of(part)

    def record_of_request(self, fingerprint):
        """Return the record of a request; an empty one without evidence."""
        return self._quarantine.requests.record_of(fingerprint)

    def on_request(self, request):
        """Count a request that came for the first time."""
        if request.is_new:
            self._quarantine.on_request(request.parts)

    def reported_records(self):
        """Return the records for a new home, the latest requests among them."""
        records = self.records()
        parts = [item for item in records if not item.is_request]
        requests = [item for item in records if item.is_request and item.crashes]
        reported = parts[:MAX_REPORTED_PARTS] + requests[-MAX_REPORTED_REQUESTS:]
        return tuple(reported)

    def kept_back(self, request, open_requests, is_alone=False):
        """Return the ``KeptBack`` of a request that must not be sent now, or None.

        Parameters
        ==========
        request : WorkRequest
        open_requests : callable
            Returns all other requests that wait, or are at an upstream.
        is_alone : bool, optional
            Whether a host decides without knowing what the others send.
        """
        kept_back = self.check(request, open_requests, is_alone)
        if kept_back is not None:
            self._metrics.count(REQUESTS_KEPT_BACK, kept_back.code.name.lower())
        return kept_back

    def check(self, request, open_requests, is_alone=False):
        """Return the same as ``kept_back``, without counting the request."""
        now_ms, may_have_run = self._clock.now_ms(), request.run_number > 1
        kept_back = None
        if request.parts:
            kept_back = self._quarantine.kept_back(
                request.parts,
                may_have_run,
                lambda part: any(part in other.parts for other in open_requests()),
                now_ms,
            )
        if kept_back is not None or not request.fingerprint:
            return kept_back
        fingerprint = request.fingerprint
        return self._quarantine.requests.kept_back(
            fingerprint,
            may_have_run or request.is_hedge,
            is_alone,
            lambda: self._count_copies(request, open_requests),
            now_ms,
        )

    def _count_copies(self, request, open_requests):
        """Return how many other copies of a request wait, or are at an upstream.

        Most requests have none, for which not all that is open is looked through.
        """
        fingerprint = request.fingerprint
        if not self._copies.count(fingerprint):
            return 0
        copies = {
            item.request_id
            for item in open_requests()
            if item.fingerprint == fingerprint
        }
        self._copies.set(fingerprint, copies)
        return len(copies)

    def on_admitted(self, request):
        """Count a request that waits from now on, or is at an upstream."""
        if request.fingerprint:
            self._copies.add(request.fingerprint, request.request_id)

    def on_adopted(self, request):
        """Count a request that a previous home has sent.

        One with more copies than an unknown request may have was known to that home.
        """
        self.on_admitted(request)
        if self._copies.count(request.fingerprint) > BLOCKED_CRASHES:
            now_ms = self._clock.now_ms()
            self._quarantine.requests.trust(request.fingerprint, now_ms)

    def on_ended(self, request):
        """Count a request no longer, as it was refused or has ended."""
        self._copies.discard(request.fingerprint, request.request_id)

    def on_sent(self, request):
        """Record that a request is sent to an upstream."""
        now_ms = self._clock.now_ms()
        if request.parts:
            self._publish(self._quarantine.on_sent(request.parts, now_ms))
        if request.fingerprint:
            requests = self._quarantine.requests
            self._publish(requests.on_sent(request.fingerprint, now_ms))

    def on_parts_answered(self, parts):
        """Record that an upstream began to answer a prompt, and went on."""
        if parts:
            self._publish(self._quarantine.on_answer(parts, self._clock.now_ms()))

    def on_answered_whole(self, fingerprint):
        """Record that an upstream answered a request whole, from its begin."""
        if fingerprint:
            now_ms = self._clock.now_ms()
            self._publish(self._quarantine.requests.on_answer(fingerprint, now_ms))

    def on_crash(self, upstream_id, parts, fingerprint=0):
        """Record that an upstream ended before it had answered a request whole.

        Parameters
        ==========
        upstream_id : str
        parts : sequence of int
            Empty if it had begun to answer.
        fingerprint : int, optional
            0 if the entry host did not tell it.
        """
        now_ms = self._clock.now_ms()
        changed = self._quarantine.on_crash(upstream_id, parts, now_ms, fingerprint)
        self._publish(changed)

    def has_crashed_since(self, upstream_id, since_ms):
        """Return whether an upstream has just ended, and not before ``since_ms``."""
        now_ms = self._clock.now_ms()
        return self._quarantine.has_crashed_since(upstream_id, since_ms, now_ms)

    def explains_crash(self, upstream_id):
        """Return whether a request is taken for the cause of an upstream's last end."""
        now_ms = self._clock.now_ms()
        return self._quarantine.explains_crash(upstream_id, now_ms)

    def is_suspect(self, request):
        """Return whether a part of a request's prompt is suspected or blocked."""
        states = (self._quarantine.state(part) for part in request.parts)
        return any(state is not PartState.CLEAR for state in states)

    def lift(self, part):
        """Withdraw the evidence against a part or request by an operator's command."""
        self._publish(self._quarantine.lift(part, self._clock.now_ms()))

    def merge(self, records):
        """Merge the records of another host, or of the store."""
        self._on_changed(self._quarantine.merge(records, self._clock.now_ms()))

    def send_to(self, host_id):
        """Tell a host that has just joined of all evidence."""
        records = self.records()
        if records:
            self._send(host_id, PartRecords(records=records))

    def tick(self):
        """Withdraw old evidence."""
        self._publish(self._quarantine.expire(self._clock.now_ms()))

    def _publish(self, records):
        if not records:
            return
        hosts = self._other_hosts()
        urgent = tuple(item for item in records if self._is_urgent(item))
        self._tell(hosts[:MAX_TOLD_OF_FIRST_CRASH], tuple(records))
        self._tell(hosts[MAX_TOLD_OF_FIRST_CRASH:], urgent)
        self._on_changed(records)
        self.on_decided(records)

    def _is_urgent(self, record):
        """Return whether a record changes what other hosts send."""
        return not record.is_request or record.state or record.part in self._states

    def _tell(self, hosts, records):
        if records:
            message = PartRecords(records=records)
            for host_id in hosts:
                self._send(host_id, message)

    def _on_changed(self, records):
        if not records:
            return
        for record in records:
            self._log_state(record)
        self.on_changed(records)

    def _log_state(self, record):
        state = PartState(record.state)
        if self._states.get(record.part, PartState.CLEAR) is state:
            return
        if state is PartState.CLEAR:
            del self._states[record.part]
        else:
            self._states[record.part] = state
        kind = "request" if record.is_request else "part"
        name = "fingerprint" if record.is_request else "part"
        _log.warning(
            f"{kind}_{_EVENTS[state]}",
            **{name: f"{record.part:016x}"},
            crashes=len(record.crashes),
            tries=record.tries,
        )
