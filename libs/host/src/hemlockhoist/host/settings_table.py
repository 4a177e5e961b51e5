"""Every setting of the host: name, kind, default and the reason for both."""

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
    """One row of the table of settings.

    Parameters
    ==========
    name : str
        With its unit as suffix.
    kind : object
        One of the kinds of ``settings_kinds``.
    default : str
        As it would be written; empty for "none".
    help : str
        What it does, and why the default and the bounds are what they are.
    required : bool
        Whether the process refuses to start without it.
    """

    name: str
    kind: object
    default: str
    help: str
    required: bool = False

    @property
    def flag(self):
        """The command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self):
        """The environment variable."""
        return PREFIX + self.name.upper()

    @property
    def is_secret(self):
        """Whether the value is never shown."""
        return isinstance(self.kind, Secret)


SETTINGS = (
    Setting(
        "host_id",
        Text(64),
        "",
        "Name of this host in logs and status, unique in the fleet. By default the "
        "advertised address, which is unique already.",
    ),
    Setting(
        "listen_address",
        Address(any_port=True),
        "127.0.0.1:8400",
        "Where callers and operators connect. The default is reachable from this "
        "machine only, so that nothing is opened to a network by accident.",
    ),
    Setting(
        "peer_listen_address",
        Address(any_port=True),
        "127.0.0.1:8401",
        "Where other hosts connect.",
    ),
    Setting(
        "advertise_address",
        Address(),
        "",
        "Address that callers are told; by default the one listened on. Set it where "
        "the process listens on 0.0.0.0.",
    ),
    Setting(
        "peer_advertise_address",
        Address(),
        "",
        "Address that other hosts are told; by default the one listened on.",
    ),
    Setting(
        "failure_domain",
        Text(64),
        "default",
        "Failure domain that this host stands in, as in the platform's host list.",
    ),
    Setting(
        "platform_address",
        Address(),
        "",
        "Address of the platform's service: tables, host list, object store.",
        required=True,
    ),
    Setting(
        "peer_key",
        Secret(),
        "",
        "Key that hosts prove to one another; the same on all hosts.",
        required=True,
    ),
    Setting(
        "operator_key",
        Secret(),
        "",
        "Key that operators' commands send; must differ from peer_key.",
        required=True,
    ),
    Setting(
        "tls_cert_file",
        File(),
        "",
        "Certificate chain (PEM) for callers and operators; without it the surface "
        "is plain HTTP. Needs tls_key_file.",
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
        "Least level of the log lines written. debug writes several lines for each "
        "request.",
    ),
    Setting(
        "statsd_address",
        Address(),
        "",
        "Where metrics are sent by UDP; none are sent without it.",
    ),
    Setting(
        "otlp_endpoint",
        Url(),
        "",
        "Where traces are sent by OTLP over HTTP; none are sent without it.",
    ),
    Setting(
        "trace_sample_permille",
        Integer(0, 1_000),
        "10",
        "Share of new traces that are recorded; a caller's own decision goes first. "
        "1 in 100 keeps the cost of spans small beside the streams.",
    ),
    Setting(
        "drain_limit_ms",
        Integer(1_000, 86_400_000),
        "900000",
        "How long a graceful shutdown waits for requests in progress before it is "
        "reported as overrun. Has to exceed the longest tier's deadline, or a planned "
        "stop would cut requests.",
    ),
    Setting(
        "host_list_poll_ms",
        Integer(100, 60_000),
        "1000",
        "Interval of reading the platform's lists of hosts and upstreams. Below 100 ms "
        "a few hosts use up the service's reads; above a minute a leaving upstream "
        "would get work for too long.",
    ),
    Setting(
        "config_poll_ms",
        Integer(100, 13_000),
        "2000",
        "Interval at which the few hosts that read the table service look for a newer "
        "version of the declarations; the others learn it from them. A change must be "
        "in force everywhere within 13 s.",
    ),
    Setting(
        "max_header_bytes",
        Integer(1_024, 65_536),
        "16384",
        "Greatest size of a request's headers; bounds the memory an unknown caller "
        "can take before its key is checked.",
    ),
    Setting(
        "body_timeout_ms",
        Integer(100, 600_000),
        "10000",
        "How long a request's body may take to arrive; bounds how long a slow caller "
        "holds a connection.",
    ),
    Setting(
        "ledger_max_records",
        Integer(1_000, 10_000_000),
        "50000",
        "Idempotency keys kept by this host. At 31 requests a second, all of them "
        "non-idempotent, the default lasts 26 minutes.",
    ),
    Setting(
        "answer_keep_bytes",
        Integer(65_536, 1_073_741_824),
        "8388608",
        "Memory for answers of non-idempotent requests that are kept for a repeat of "
        "the same key.",
    ),
    Setting(
        "stream_buffer_bytes",
        Integer(16_384, 16_777_216),
        "262144",
        "Bytes of one answer held for a caller that reads slowly, before reading from "
        "the upstream pauses.",
    ),
    Setting(
        "address_ttl_ms",
        Integer(1_000, 3_600_000),
        "30000",
        "How long a caller may keep the answer to which hosts it should use. Shorter "
        "means more questions, longer means more connections to hosts that have gone.",
    ),
    Setting(
        "load_poll_ms",
        Integer(50, 60_000),
        "500",
        "Interval of reading an upstream's load report.",
    ),
)

SETTING_NAMES = tuple(setting.name for setting in SETTINGS)
