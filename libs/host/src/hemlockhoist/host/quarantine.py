"""Parts of prompts that crash upstreams: what this host knows, and tells the others."""

from hemlockhoist.base import get_logger
from hemlockhoist.base.metrics import Metrics
from hemlockhoist.base.metrics_table import PARTS_BLOCKED, REQUESTS_KEPT_BACK
from hemlockhoist.decisions.quarantine import Quarantine
from hemlockhoist.messages import PartRecords, PartState

_log = get_logger("host.quarantine")

_EVENTS = {
    PartState.CLEAR: "part_cleared",
    PartState.SUSPECTED: "part_suspected",
    PartState.BLOCKED: "part_blocked",
}


class QuarantineService:
    """Applies the evidence against parts of prompts, and tells other hosts of changes.

    Each host holds all of it, so that none begins from nothing when it becomes the home
    of a pool, or grants its own requests alone. Crashes are rare, and a message about
    one is sent only if no answer speaks for a part of the prompts concerned.

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

    def on_request(self, request):
        """Count a request that came for the first time."""
        if request.is_new:
            self._quarantine.on_request(request.parts)

    def kept_back(self, request, is_busy):
        """Return the ``KeptBack`` of a request that must not be sent now, or None.

        Parameters
        ==========
        request : WorkRequest
        is_busy : callable
            See ``Quarantine.kept_back``.
        """
        kept_back = self.check(request, is_busy)
        if kept_back is not None:
            self._metrics.count(REQUESTS_KEPT_BACK, kept_back.code.name.lower())
        return kept_back

    def check(self, request, is_busy):
        """Return the same as ``kept_back``, without counting the request."""
        if not request.parts:
            return None
        return self._quarantine.kept_back(
            request.parts, request.attempt > 1, is_busy, self._clock.now_ms()
        )

    def on_sent(self, request):
        """Record that a request is sent to an upstream."""
        if request.parts:
            now_ms = self._clock.now_ms()
            self._publish(self._quarantine.on_sent(request.parts, now_ms))

    def on_answer(self, parts):
        """Record that an upstream answered a prompt."""
        self._publish(self._quarantine.on_answer(parts, self._clock.now_ms()))

    def on_crash(self, upstream_id, parts):
        """Record that an upstream ended before it had begun to answer a prompt."""
        now_ms = self._clock.now_ms()
        self._publish(self._quarantine.on_crash(upstream_id, parts, now_ms))

    def explains_crash(self, upstream_id):
        """Return whether a prompt is taken for the cause of an upstream's last end."""
        now_ms = self._clock.now_ms()
        return self._quarantine.explains_crash(upstream_id, now_ms)

    def is_suspect(self, request):
        """Return whether a part of a request's prompt is suspected or blocked."""
        states = (self._quarantine.state(part) for part in request.parts)
        return any(state is not PartState.CLEAR for state in states)

    def lift(self, part):
        """Withdraw the evidence against a part by an operator's command."""
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
        message = PartRecords(records=tuple(records))
        for host_id in self._other_hosts():
            self._send(host_id, message)
        self._on_changed(records)
        self.on_decided(records)

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
        _log.warning(
            _EVENTS[state],
            part=f"{record.part:016x}",
            crashes=len(record.crashes),
            tries=record.tries,
        )
