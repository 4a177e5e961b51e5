"""The table of all metrics: name, kind, label and meaning."""

from hemlockhoist.base.metric import PREFIX, Metric, MetricKind

__all__ = ["METRICS", "PREFIX", "Metric", "MetricKind"]

_C, _G, _T = MetricKind.COUNTER, MetricKind.GAUGE, MetricKind.TIMER

REQUESTS_ARRIVED = Metric(
    "requests.arrived",
    _C,
    "tier",
    "Requests that ask for a grant: key, body and idempotency key were accepted.",
    "Compare with the usual load of the tiers.",
)
REQUESTS_GOOD = Metric(
    "requests.good",
    _C,
    "tier",
    "Goodput: whole answers whose first token came within the tier's target.",
    "If it falls behind requests.arrived, check requests.ended by code.",
)
REQUESTS_WHOLE = Metric(
    "requests.whole",
    _C,
    "tier",
    "Whole answers, in time or not.",
    "The excess over requests.good is late: check queue.wait_ms and "
    "answers.first_token_ms.",
)
REQUESTS_ENDED = Metric(
    "requests.ended",
    _C,
    "result code",
    "Requests by the code they ended with.",
    "See docs/RESULT_CODES.md for the meaning and remedy of each code.",
)
REQUESTS_OPEN = Metric(
    "requests.open",
    _G,
    "",
    "Requests in progress on this host.",
    "If it grows without arrivals, an upstream does not answer: check attempts.ended.",
)
ATTEMPTS_ENDED = Metric(
    "attempts.ended",
    _C,
    "outcome",
    "Sends to upstreams by what came of them.",
    "For failures of one upstream, search the attempt_ended log lines for its id.",
)
ANSWERS_ENDED = Metric(
    "answers.ended",
    _C,
    "how",
    "Whole answers of upstreams by how their end is known: by their length, their last "
    "chunk, or only by the end of their connection, which proves nothing.",
    "For connection, search the answer_end_uncertain log lines for the upstream, and "
    "have it state a length or send chunks.",
)
HEDGES_SENT = Metric(
    "hedges.sent",
    _C,
    "pool",
    "Hedges: second attempts that were granted while the first one was slow.",
    "Compare with requests.arrived and HEMLOCKHOIST_HEDGE_PERMILLE.",
)
HEDGES_ENDED = Metric(
    "hedges.ended",
    _C,
    "result",
    "Hedges by their result: they answered first (won), the first attempt did or the "
    "caller left (lost), or they failed.",
    "If few are won, exclude the routes whose answers vary by nature, or turn hedges "
    "off.",
)
HEDGES_REFUSED = Metric(
    "hedges.refused",
    _C,
    "cause",
    "Slow requests without a hedge: the budget is spent (budget), the pool's home has "
    "no capacity to spare (home) or had none shortly before (paused), this host waits "
    "for memory (memory), or too little time is left (too_late).",
    "Continuous refusals by the home show a pool without free slots, where hedges do "
    "not help.",
)
STREAMS_CUT = Metric(
    "streams.cut",
    _C,
    "cause",
    "Streams that were cut after their first event: their upstream was silent, broke "
    "off or failed and no other continued them, their deadline passed, this host "
    "refused to continue them, its planned stop ended (stopped), or their caller took "
    "nothing for seconds (slow_reader; long whole answers that nobody takes count as "
    "well).",
    "Search the stream_cut log lines for the cause; deadline means slow upstreams.",
)
MEMORY_USED = Metric(
    "memory.used",
    _G,
    "purpose",
    "Memory that requests use on this host, by purpose: bodies being read, bodies kept "
    "for another attempt, whole answers, and what callers have not taken of streams.",
    "If it comes near the limit, callers or upstreams read slowly, or hosts are missing.",
    "bytes",
)
MEMORY_REFUSED = Metric(
    "memory.refused",
    _C,
    "tier",
    "Requests that were refused as this host had no memory for their bodies.",
    "Compare memory.used by purpose: callers that read slowly, or too many bodies.",
)
CALLER_CONNECTIONS = Metric(
    "callers.connections",
    _G,
    "",
    "Connections of callers on this host.",
    "Compare with callers.connections_limit and requests.open: many idle ones are closed first.",
)
CALLER_CONNECTIONS_LIMIT = Metric(
    "callers.connections_limit",
    _G,
    "",
    "Connections that callers may hold; 0 for no limit.",
    "It follows from the descriptors of the process and the number of peers.",
)
CALLER_CONNECTIONS_WAITING = Metric(
    "callers.connections_waiting",
    _G,
    "",
    "Connections of callers that the kernel has queued and the host has not accepted.",
    "If it stays above 0, see callers.accept_errors and loop.lag_ms.",
)
CALLERS_ACCEPTED = Metric(
    "callers.accepted",
    _C,
    "",
    "Connections of callers that were accepted.",
    "Without new ones while callers try, see callers.accept_errors.",
)
CALLERS_CLOSED = Metric(
    "callers.closed",
    _C,
    "cause",
    "Idle connections of callers that were closed: for room, or as they had expired.",
    "If many are closed for room, callers open connections that they don't use, or hosts "
    "are missing.",
)
ACCEPT_ERRORS = Metric(
    "callers.accept_errors",
    _C,
    "error",
    "Errors in accepting connections of callers, by their name in the system.",
    "EMFILE and ENFILE: descriptors are used up. Others: the network, at that moment.",
)
CONNECTIONS_CUT = Metric(
    "connections.cut",
    _C,
    "cause",
    "Connections at any address of the host that were refused or cut off, as what came "
    "on them kept to no limits, or for room.",
    "If many, see the log lines connection_cut for the listener, and OPERATIONS.",
)
PROMPT_TOKENS = Metric(
    "prefill.prompt_tokens",
    _C,
    "pool",
    "Prompt tokens of dispatched requests.",
    "Compare with the usual load of the pool.",
    "tokens",
)
WASTED_TOKENS = Metric(
    "prefill.wasted_tokens",
    _C,
    "pool",
    "Wasted prefill: prompt tokens computed for an answer that did not become whole, "
    "or again although another upstream was believed to hold their prefix.",
    "Check for engines that abort answers and for callers that disconnect early.",
    "tokens",
)
MOVES_STARTED = Metric(
    "moves.started", _C, "pool", "Version moves started.", "Started by operators."
)
MOVES_IN_TIME = Metric(
    "moves.finished_in_time",
    _C,
    "pool",
    "Moves that finished by their 'moved by' time. Over moves.started: the share of "
    "good versions moved over in time.",
    "No action is needed.",
)
MOVES_LATE = Metric(
    "moves.finished_late",
    _C,
    "pool",
    "Moves that finished after their time.",
    "Allow more time for moves of pools whose routes have little traffic.",
)
MOVES_ROLLED_BACK = Metric(
    "moves.taken_back",
    _C,
    "pool",
    "Moves taken back. Against versions later known to be bad: the share of bad "
    "versions taken back.",
    "The reason of the move names the evidence: fix the version.",
)
FIRST_TOKEN_MS = Metric(
    "answers.first_token_ms",
    _T,
    "tier",
    "From arrival to the first token sent.",
    "If it exceeds the target, compare with queue.wait_ms; the rest is engine time.",
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
    "Above about 20 ms the pool is full, or no home answers: check homes.alone.",
    "milliseconds",
)
QUEUE_LENGTH = Metric(
    "queue.length",
    _G,
    "pool",
    "Requests queued, on the pool's home.",
    "If it stays above 0, the pool has too few upstreams for its load.",
)
GRANTS_IN_FLIGHT = Metric(
    "grants.in_flight",
    _G,
    "pool",
    "Grants given and not yet back, on the home.",
    "Equal to the total of slots: with a queue, the pool is full; without load, "
    "grants are lost.",
)
HOLD_MS = Metric(
    "upstreams.hold_ms",
    _T,
    "pool",
    "For how long requests held a place at an upstream.",
    "If it grows without longer answers, the upstreams are slow: check attempts.ended.",
    "milliseconds",
)
CALLERS_RETRIED = Metric(
    "callers.returned",
    _C,
    "pool",
    "Requests that were refused before and came back as told, at the pool's home.",
    "If it is far below the refusals with Retry-After, callers give up or retry "
    "elsewhere.",
)
RESERVATIONS_MADE = Metric(
    "reservations.made",
    _C,
    "pool",
    "Refused requests for whose retry the pool's home reserved capacity.",
    "If it is far below the refusals of the pool, bursts last longer than callers wait.",
)
RESERVATIONS_USED = Metric(
    "reservations.used",
    _C,
    "pool",
    "Requests that came back when told and claimed reserved capacity.",
    "Compare with reservations.lapsed.",
)
RESERVATIONS_LAPSED = Metric(
    "reservations.lapsed",
    _C,
    "pool",
    "Reservations that nobody claimed in time; waiting requests used the capacity.",
    "If most lapse, callers do not honour Retry-After, or retry elsewhere.",
)
RESERVATIONS_MOVED = Metric(
    "reservations.moved",
    _C,
    "pool",
    "Claimed reservations that were moved to a later time, as higher tiers needed the "
    "capacity.",
    "If it is high, the capacity does not suffice for the lower tiers.",
)
CALLERS_DISCONNECTED = Metric(
    "callers.left",
    _C,
    "tier",
    "Callers that left before anything of their answer was sent.",
    "Compare callers.left_ms with queue.wait_ms: requests that are queued for longer "
    "than their callers wait are never answered.",
)
CALLERS_DISCONNECTED_MS = Metric(
    "callers.left_ms",
    _T,
    "tier",
    "From arrival until the caller left unanswered.",
    "If it is shorter than the routes declare, check for time-outs of the callers.",
    "milliseconds",
)
DECISIONS_ALONE = Metric(
    "homes.alone",
    _C,
    "pool",
    "Times that this host began to decide alone, as no home answered.",
    "Check the home at that time: frozen, partitioned, or short of processor time.",
)
HOSTS_LIVE = Metric(
    "hosts.live",
    _G,
    "",
    "Hosts that this host believes to be live.",
    "If it differs between hosts for more than a few seconds, the network is "
    "partitioned.",
)
DECLARATIONS_VERSION = Metric(
    "declarations.version",
    _G,
    "",
    "Version of the declarations or routes in force here.",
    "If it differs between hosts for more than two seconds, a host cannot reach the "
    "store.",
)
PROOF_AGE_MS = Metric(
    "store.proof_age_ms",
    _G,
    "",
    "Age of the newest proof that the routes in force are the newest.",
    "Above 3 s the store does not answer this host, and callers use other hosts.",
    "milliseconds",
)
BEHIND_MS = Metric(
    "store.behind_ms",
    _G,
    "",
    "Since when other hosts have told of routes that are not in force here; 0 if none.",
    "Above the time in which a change is to be in force, look for routes_behind in the "
    "log.",
    "milliseconds",
)
LOOP_LAG_MS = Metric(
    "loop.lag_ms",
    _G,
    "",
    "Largest delay of the event loop in the last second.",
    "Above 250 ms the host is short of processor time: requests and changes of the "
    "configuration wait in its sockets.",
    "milliseconds",
)
STORE_CALLS = Metric(
    "store.calls",
    _C,
    "table",
    "Calls of the store that were answered.",
    "Calls are charged for; about one per second and host is usual.",
)
STORE_CHANGES = Metric(
    "store.changes",
    _C,
    "way",
    "Readings with changes of the routes or of orders: by store, reader or other host.",
    "If other hosts grow, the store rejects this host and its readers, or calls hang.",
)
STORE_ROW_BYTES = Metric(
    "store.row_bytes",
    _C,
    "table",
    "Bytes of values that this host read from the store, without their encoding.",
    "If many hosts count megabytes, they read whole tables; see table_read in the log.",
)
STORE_FAILURES = Metric(
    "store.failures",
    _C,
    "table",
    "Calls of the store that failed.",
    "Check the platform; hosts continue to serve while their proof is fresh.",
)
UPSTREAMS_LISTED = Metric(
    "upstreams.listed",
    _G,
    "pool",
    "Upstreams in the list that are not leaving.",
    "At 0, no upstream of the pool is registered.",
)
UPSTREAMS_LIMITED = Metric(
    "upstreams.limited",
    _G,
    "pool",
    "Upstreams whose latest answer to this host advertised a limit on requests.",
    "The upstreams are in need: see limit_advertised in the logs, and why they are.",
)
UPSTREAMS_BRITTLE = Metric(
    "upstreams.brittle",
    _G,
    "pool",
    "Upstreams whose latest answer to this host said that they are brittle: they fail "
    "if they have to turn too many requests away.",
    "Nothing waits at such upstreams; see brittle_advertised in the logs, and why.",
)
UPSTREAMS_LEAVING = Metric(
    "upstreams.leaving",
    _G,
    "pool",
    "Upstreams that announced in their answers that they are about to stop.",
    "No action is needed; if they stay, they do not stop: see upstream_leaving.",
)
UPSTREAMS_SLOWED = Metric(
    "upstreams.slowed",
    _G,
    "pool",
    "Upstreams that get work as slower or faster ones than usual, as they said so in "
    "recent answers; at the pool's home.",
    "No action is needed; if it is most of them, see what else runs on their machines.",
)
UPSTREAMS_BACKED_OFF = Metric(
    "upstreams.backed_off",
    _G,
    "pool",
    "Upstreams that turned this host away and want no requests from it for a while.",
    "If it is high on all hosts, the upstreams are overloaded or failing.",
)
LINKS_LOST = Metric(
    "links.lost",
    _G,
    "pool",
    "Upstreams to which this host has lost its link.",
    "If it stays, check the network between the host and the upstreams: see "
    "upstream_link_lost and links_lost.",
)
RELAYS_REQUESTED = Metric(
    "relays.requested",
    _C,
    "result",
    "Requests that this host asked others to relay: relayed, or why one did not.",
    "If it grows, this host has lost links: see links.lost.",
)
RELAYS_CARRIED = Metric(
    "relays.carried",
    _C,
    "result",
    "Requests of other hosts that this host relayed, by their end, or why it did not.",
    "If busy is frequent, too few hosts have links to the upstreams.",
)
DOMAINS_EVACUATED = Metric(
    "domains.evacuated",
    _G,
    "",
    "Failure domains whose upstreams get nothing, by an operator's order.",
    "If it is above 0 for longer than intended, the order is still in the store.",
)
GRANTS_OUTDATED = Metric(
    "grants.outdated",
    _C,
    "cause",
    "Grants that were not used: their upstream leaves, is evacuated, turned cold, or "
    "wants no requests from the host.",
    "A few at each change of the list are normal. If they are continuous, the home "
    "cannot reach the store.",
)
RETRIES_ALLOWED = Metric(
    "retries.allowed",
    _C,
    "pool",
    "Retries that a home charged to the fleet's limit and admitted.",
    "Search the log for retry_charged: it says for which request, and what is left.",
)
REQUESTS_KEPT_BACK = Metric(
    "requests.kept_back",
    _C,
    "cause",
    "Requests that were refused as they, or a part of their prompts, crash upstreams "
    "(part_blocked), or may do so (part_suspected).",
    "Search the log for part_blocked, request_blocked, part_suspected and "
    "request_suspected; see parts.blocked.",
)
PARTS_BLOCKED = Metric(
    "parts.blocked",
    _G,
    "",
    "Requests, and parts of prompts, that are not sent as they crash upstreams.",
    "List them, and lift one once upstreams bear it.",
)
GRANTS_HELD_BACK = Metric(
    "grants.held_back",
    _C,
    "cause",
    "Requests that were queued or refused while an upstream had a free slot that was "
    "not to be given: it advertises a limit on its requests (limit), wants none from "
    "the entry host for a while (back_off), would fail if it had to turn the request "
    "away (brittle), requests failed there (suspension), or it went down and came back "
    "repeatedly (flapping).",
    "If it is continuous, the upstreams can't take the load: see limit_advertised, "
    "back_off_requested, upstream_suspended and upstream_suppressed.",
)
UPSTREAMS_SUPPRESSED = Metric(
    "upstreams.suppressed",
    _C,
    "pool",
    "Upstreams that get no requests for a while, as they went down and came back "
    "repeatedly, counted at the pool's home.",
    "Search the log for upstream_suppressed, and find out why the upstream ends.",
)
UPSTREAMS_RELEASED = Metric(
    "upstreams.released",
    _C,
    "pool",
    "Ends of such suppressions.",
    "If it grows with upstreams.suppressed for long, the same upstreams go on flapping.",
)
CONNECTIONS_MADE = Metric(
    "connections.made",
    _C,
    "pool",
    "Connections made to send a request to an upstream, while connections are kept.",
    "Compare connections.reused. If few are reused, upstreams announce no or a short "
    "Keep-Alive time, or most requests may not be repeated.",
)
CONNECTIONS_REUSED = Metric(
    "connections.reused",
    _C,
    "pool",
    "Requests sent to an upstream over a kept connection.",
    "See connections.made.",
)
CONNECTIONS_LOST = Metric(
    "connections.lost",
    _C,
    "cause",
    "Kept connections that ended before their time: closed by the upstream (closed), bytes "
    "arrived while idle (bytes), or a request got no response on one (request).",
    "If closed or request grows, upstreams close earlier than they announce. If bytes "
    "grows, search the log for idle_connection_bytes: an upstream sends too much.",
)
LEDGER_IN_PROGRESS = Metric(
    "ledger.in_progress",
    _G,
    "",
    "Keys whose request has not ended on this host.",
    "If it grows without load, upstreams do not answer.",
)
INVARIANT_VIOLATIONS = Metric(
    "invariants.violations",
    _G,
    "property",
    "Broken invariants since the start.",
    "Any value above 0 is a bug in the program: keep the logs and report it.",
)
LOG_LINES_DROPPED = Metric(
    "logs.left_out",
    _C,
    "",
    "Log lines that were left out, for their rate or an unread output.",
    "Read standard output faster, or check what fails so often.",
)
SERIES_DROPPED = Metric(
    "metrics.series_dropped",
    _C,
    "",
    "Values not counted because too many label values were in use.",
    "A bug in the program: the values of a label come from outside.",
)

METRICS = tuple(item for item in list(globals().values()) if isinstance(item, Metric))
