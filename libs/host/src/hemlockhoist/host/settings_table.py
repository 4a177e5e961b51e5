"""Table of the host's settings: name, kind, default and description."""

import msgspec

from hemlockhoist.host.settings_kinds import (
    Address,
    Choice,
    File,
    Integer,
    Secret,
    Text,
    Url,
)

PREFIX = "HEMLOCKHOIST_"


class Setting(msgspec.Struct, frozen=True):
    """One setting of the table.

    Parameters
    ==========
    name : str
        Ends in the unit, if any.
    kind : object
        One of the kinds of ``settings_kinds``.
    default : str
        As text; empty for no default.
    help : str
        What the setting does, and the reasons for its default and bounds.
    required : bool
        Whether the process refuses to start without a value.
    """

    name: str
    kind: object
    default: str
    help: str
    required: bool = False

    @property
    def flag(self):
        """Name of the command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self):
        """Name of the environment variable."""
        return PREFIX + self.name.upper()

    @property
    def is_secret(self):
        """Whether the value is a secret, which is always masked."""
        return isinstance(self.kind, Secret)


SETTINGS = (
    Setting(
        "host_id",
        Text(64),
        "",
        "Name of this host in logs and status, unique in the fleet. By default the "
        "advertised address, which is already unique.",
    ),
    Setting(
        "listen_address",
        Address(any_port=True),
        "127.0.0.1:8400",
        "Address where callers and operators connect. The default is reachable from "
        "this machine only, so that the host is not exposed to a network by accident.",
    ),
    Setting(
        "peer_listen_address",
        Address(any_port=True),
        "127.0.0.1:8401",
        "Address where other hosts connect.",
    ),
    Setting(
        "advertise_address",
        Address(),
        "",
        "Address advertised to callers; by default the one listened on. Set it if the "
        "process listens on 0.0.0.0.",
    ),
    Setting(
        "peer_advertise_address",
        Address(),
        "",
        "Address advertised to other hosts; by default the one listened on.",
    ),
    Setting(
        "relay_listen_address",
        Address(any_port=True),
        "",
        "Address where other hosts that lost their links to upstreams have requests "
        "relayed; by default a free port beside the address for other hosts.",
    ),
    Setting(
        "failure_domain",
        Text(64),
        "default",
        "Failure domain of this host, as in the platform's host list.",
    ),
    Setting(
        "platform_address",
        Address(),
        "",
        "Address of the platform's services: tables, host list, object store.",
        required=True,
    ),
    Setting(
        "peer_key",
        Secret(),
        "",
        "Key with which hosts authenticate to one another; the same on all hosts.",
        required=True,
    ),
    Setting(
        "operator_key",
        Secret(),
        "",
        "Key with which operators' commands authenticate; must differ from peer_key.",
        required=True,
    ),
    Setting(
        "tls_cert_file",
        File(),
        "",
        "Certificate chain (PEM) presented to callers and operators; without it they "
        "are served by plain HTTP. Requires tls_key_file.",
    ),
    Setting(
        "tls_key_file",
        File(),
        "",
        "Private key (PEM) of tls_cert_file.",
    ),
    Setting(
        "log_level",
        Choice(("debug", "info", "warning", "error")),
        "info",
        "Minimum level of the log lines written. debug writes several lines for each "
        "request.",
    ),
    Setting(
        "statsd_address",
        Address(),
        "",
        "Address to which metrics are sent by UDP; none are sent without it.",
    ),
    Setting(
        "otlp_endpoint",
        Url(),
        "",
        "URL to which traces are sent by OTLP over HTTP; none are sent without it.",
    ),
    Setting(
        "trace_sample_permille",
        Integer(0, 1_000),
        "10",
        "Fraction of new traces that are recorded; a caller's own sampling decision "
        "takes precedence. 1 in 100 keeps the cost of spans small compared to that of "
        "the streams.",
    ),
    Setting(
        "drain_limit_ms",
        Integer(1_000, 86_400_000),
        "900000",
        "How long a graceful shutdown waits for requests in progress before it is "
        "reported as overrun. Must exceed the longest deadline of any tier, or a "
        "planned stop would end requests with an unknown outcome.",
    ),
    Setting(
        "host_list_poll_ms",
        Integer(100, 60_000),
        "1000",
        "Interval at which the platform's lists of hosts and upstreams are polled. "
        "Below 100 ms a few hosts would exhaust the service's read capacity; above a "
        "minute a leaving upstream would receive work for too long.",
    ),
    Setting(
        "config_poll_ms",
        Integer(100, 13_000),
        "2000",
        "Interval at which the few hosts that read the table service poll for a newer "
        "version of the declarations; the others receive it from them. A change must "
        "be in force everywhere within 13 s.",
    ),
    Setting(
        "max_header_bytes",
        Integer(1_024, 65_536),
        "16384",
        "Maximum size of a request's head, with empty lines before it; bounds the "
        "memory that an unknown caller can use before its key is checked.",
    ),
    Setting(
        "body_timeout_ms",
        Integer(100, 600_000),
        "10000",
        "Time-out for receiving a request's head from its first byte, and for its "
        "body; bounds how long a slow caller occupies a connection.",
    ),
    Setting(
        "ledger_max_records",
        Integer(1_000, 10_000_000),
        "50000",
        "Maximum number of idempotency keys kept by this host. At 31 requests a "
        "second, all of them non-idempotent, the default lasts for 26 minutes.",
    ),
    Setting(
        "answer_keep_bytes",
        Integer(65_536, 1_073_741_824),
        "8388608",
        "Memory for answers to non-idempotent requests, which are kept for repeats "
        "with the same key.",
    ),
    Setting(
        "stream_buffer_bytes",
        Integer(16_384, 16_777_216),
        "262144",
        "Bytes of one answer buffered for a caller that reads slowly, before reading "
        "from the upstream pauses.",
    ),
    Setting(
        "address_ttl_ms",
        Integer(1_000, 3_600_000),
        "30000",
        "How long a caller may cache the list of hosts to use. Shorter means more "
        "requests for it, longer means more connections to hosts that have gone.",
    ),
    Setting(
        "load_poll_ms",
        Integer(50, 60_000),
        "500",
        "Interval at which an upstream's load report is polled.",
    ),
)

SETTING_NAMES = tuple(setting.name for setting in SETTINGS)
