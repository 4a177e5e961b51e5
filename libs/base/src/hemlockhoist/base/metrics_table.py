"""Every metric: name, kind, labels and meaning."""

import enum

import msgspec

PREFIX = "hemlockhoist"


class MetricKind(enum.Enum):
    """How statsd treats the values of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


class Metric(msgspec.Struct, frozen=True):
    """One row of the table of metrics.

    Parameters
    ==========
    name : str
        Below ``PREFIX``; the label's value is the last part.
    kind : MetricKind
    label : str
        What the last part of the name stands for; empty for no label.
    help : str
    remedy : str
        What to do when it moves.
    unit : str
        Of the values; a count where it is empty.
    """

    name: str
    kind: MetricKind
    label: str
    help: str
    remedy: str
    unit: str = ""


_C, _G, _T = MetricKind.COUNTER, MetricKind.GAUGE, MetricKind.TIMER

REQUESTS_ARRIVED = Metric(
    "requests.arrived",
    _C,
    "tier",
    "Requests that ask for a grant: key, body and idempotency key were accepted.",
    "Compare with the tiers' usual load.",
)
REQUESTS_GOOD = Metric(
    "requests.good",
    _C,
    "tier",
    "Goodput: whole answers whose first token came within the tier's target.",
    "Where it falls behind requests.arrived, look at requests.ended by code.",
)
REQUESTS_WHOLE = Metric(
    "requests.whole",
    _C,
    "tier",
    "Whole answers, in time or not.",
    "Whole and not good: late; look at queue.wait_ms and answers.first_token_ms.",
)
REQUESTS_ENDED = Metric(
    "requests.ended",
    _C,
    "result code",
    "Requests by the code they ended with.",
    "docs/RESULT_CODES.md says what each code means and what to do.",
)
REQUESTS_OPEN = Metric(
    "requests.open",
    _G,
    "",
    "Requests in progress on this host.",
    "Grows without arrivals: an upstream is silent; look at attempts.ended.",
)
ATTEMPTS_ENDED = Metric(
    "attempts.ended",
    _C,
    "outcome",
    "Sends to upstreams by what came of them.",
    "Failures of one upstream: look for its id in attempt_ended lines.",
)
PROMPT_TOKENS = Metric(
    "prefill.prompt_tokens",
    _C,
    "pool",
    "Prompt tokens of dispatched requests.",
    "Compare with the pool's usual load.",
    "tokens",
)
WASTED_TOKENS = Metric(
    "prefill.wasted_tokens",
    _C,
    "pool",
    "Wasted prefill: prompt tokens computed for an answer that did not become whole, "
    "or again although another upstream was believed to hold their prefix.",
    "Look for engines that break off, and for callers that leave early.",
    "tokens",
)
MOVES_STARTED = Metric(
    "moves.started", _C, "pool", "Version moves started.", "An operator's order."
)
MOVES_IN_TIME = Metric(
    "moves.finished_in_time",
    _C,
    "pool",
    "Moves that finished by their 'moved by' time. Over moves.started: the share of "
    "good versions moved over in time.",
    "None needed.",
)
MOVES_LATE = Metric(
    "moves.finished_late",
    _C,
    "pool",
    "Moves that finished after their time.",
    "Order moves with more time where a route has little traffic.",
)
MOVES_ROLLED_BACK = Metric(
    "moves.taken_back",
    _C,
    "pool",
    "Moves taken back. Against versions later known to be bad: the share of bad "
    "versions taken back.",
    "The move's reason names the evidence; mend the version.",
)
FIRST_TOKEN_MS = Metric(
    "answers.first_token_ms",
    _T,
    "tier",
    "From arrival to the first token sent.",
    "Over the target: compare with queue.wait_ms; the rest is the engines'.",
    "milliseconds",
)
ANSWER_MS = Metric(
    "answers.total_ms",
    _T,
    "tier",
    "From arrival to the last byte sent.",
    "Compare with answers.first_token_ms.",
    "milliseconds",
)
QUEUE_WAIT_MS = Metric(
    "queue.wait_ms",
    _T,
    "tier",
    "From asking for a grant to having it.",
    "Over some 20 ms: the pool is full, or no home answers; look at homes.alone.",
    "milliseconds",
)
QUEUE_LENGTH = Metric(
    "queue.length",
    _G,
    "pool",
    "Requests queued, on the pool's home.",
    "Stays above 0: the pool lacks upstreams for its load.",
)
GRANTS_IN_FLIGHT = Metric(
    "grants.in_flight",
    _G,
    "pool",
    "Grants given and not yet back, on the home.",
    "At the sum of places with a queue: full. At it without load: grants are lost.",
)
HOLD_MS = Metric(
    "upstreams.hold_ms",
    _T,
    "pool",
    "For how long requests held a place at an upstream.",
    "Grows without longer answers: the upstreams are slow; look at attempts.ended.",
    "milliseconds",
)
CALLERS_RETRIED = Metric(
    "callers.returned",
    _C,
    "pool",
    "Requests that were refused before and came back as told, at the pool's home.",
    "Far below the refusals with a time: callers give up, or come back elsewhere.",
)
CALLERS_DISCONNECTED = Metric(
    "callers.left",
    _C,
    "tier",
    "Callers that left before anything of their answer was sent.",
    "Compare callers.left_ms with queue.wait_ms: a queue that holds requests for "
    "longer than their callers wait serves nobody.",
)
CALLERS_DISCONNECTED_MS = Metric(
    "callers.left_ms",
    _T,
    "tier",
    "From arrival until the caller left unanswered.",
    "Shorter than the routes declare: look for a time limit on the callers' side.",
    "milliseconds",
)
DECISIONS_ALONE = Metric(
    "homes.alone",
    _C,
    "pool",
    "Times that this host began to decide alone, as no home answered.",
    "Look at the home of that time: frozen, cut off, or out of processor time.",
)
HOSTS_LIVE = Metric(
    "hosts.live",
    _G,
    "",
    "Hosts that this host believes to be live.",
    "Differs between hosts for more than some seconds: the network is cut.",
)
DECLARATIONS_VERSION = Metric(
    "declarations.version",
    _G,
    "",
    "Version of the declarations or routes in force here.",
    "Differs between hosts for more than two seconds: a host lacks the store.",
)
PROOF_AGE_MS = Metric(
    "store.proof_age_ms",
    _G,
    "",
    "Age of the newest proof that the routes in force are the newest.",
    "Over 3 s: the store does not answer this host; callers go elsewhere.",
    "milliseconds",
)
STORE_CALLS = Metric(
    "store.calls",
    _C,
    "table",
    "Calls of the store that were answered.",
    "They are paid for; about one a second and host is usual.",
)
STORE_FAILURES = Metric(
    "store.failures",
    _C,
    "table",
    "Calls of the store that failed.",
    "Ask the platform; hosts serve on for as long as their proof is fresh.",
)
UPSTREAMS_LISTED = Metric(
    "upstreams.listed",
    _G,
    "pool",
    "Upstreams in the list that are not leaving.",
    "At 0: nothing of the pool is registered.",
)
DOMAINS_EVACUATED = Metric(
    "domains.evacuated",
    _G,
    "",
    "Failure domains whose upstreams get nothing, by an operator's order.",
    "Above 0 longer than meant: the order still stands in the store.",
)
GRANTS_OUTDATED = Metric(
    "grants.outdated",
    _C,
    "cause",
    "Grants that were not used: their upstream leaves, is evacuated, or turned cold.",
    "Some at each change of the list; steadily: the home is cut off from the store.",
)
LEDGER_IN_PROGRESS = Metric(
    "ledger.in_progress",
    _G,
    "",
    "Keys whose request has not ended on this host.",
    "Grows without load: upstreams are silent.",
)
INVARIANT_VIOLATIONS = Metric(
    "invariants.violations",
    _G,
    "property",
    "Broken invariants since the start.",
    "Any value above 0 is a fault of the program: keep the logs and report it.",
)
LOG_LINES_DROPPED = Metric(
    "logs.left_out",
    _C,
    "",
    "Log lines that were left out, for their rate or an unread output.",
    "Read standard output faster, or look at what fails so often.",
)
SERIES_DROPPED = Metric(
    "metrics.series_dropped",
    _C,
    "",
    "Values not counted because too many label values were in use.",
    "A fault of the program: a label's values come from outside.",
)

METRICS = tuple(item for item in list(globals().values()) if isinstance(item, Metric))
