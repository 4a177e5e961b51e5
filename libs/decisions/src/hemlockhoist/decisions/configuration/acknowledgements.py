"""Acknowledgements by hosts of the configuration version they have in force.

Each host reports to one of a few collectors, so that no collector receives the reports
of all hosts. The summary of a collector lists the first few hosts that lag.
"""

import msgspec

from hemlockhoist.messages.configuration import ConfigurationSummary

MAX_LAGGING_LISTED = 16


class InForceReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report on the hosts at which a version is in force.

    Parameters
    ==========
    version : int
    confirmed : int
        Number of hosts that have this or a later version in force.
    lagging : tuple of str
        Addresses of the first few live hosts that have not confirmed it.
    lagging_count : int
    unreported_collectors : tuple of str
        Collectors that have sent no summary of this version.
    """

    version: int
    confirmed: int
    lagging: tuple[str, ...]
    lagging_count: int
    unreported_collectors: tuple[str, ...]

    @property
    def is_everywhere(self):
        """Whether every live host has confirmed the version."""
        return not self.lagging_count and not self.unreported_collectors


class AcknowledgementLog:
    """Acknowledgements received by this host, and summaries of all collectors.

    Parameters
    ==========
    address : str
        Address of this host.
    """

    __slots__ = ("_acks", "_address", "_summaries")

    def __init__(self, address):
        self._address = address
        self._acks = {}
        self._summaries = {}

    def on_ack(self, ack):
        """Record a host's acknowledgement; an outdated one changes nothing."""
        known = self._acks.get(ack.address)
        same_incarnation = known is not None and known.incarnation == ack.incarnation
        if same_incarnation and known.version >= ack.version:
            return
        self._acks[ack.address] = ack

    def on_summary(self, summary):
        """Record the summary of a collector."""
        known = self._summaries.get(summary.address)
        if known is None or summary.version >= known.version:
            self._summaries[summary.address] = summary

    def keep_only(self, reporting, collectors):
        """Drop the acknowledgements and summaries of all other hosts.

        Parameters
        ==========
        reporting : iterable of str
            Addresses of the hosts that report to this one.
        collectors : iterable of str
            Addresses of all collectors.
        """
        self._acks = _retain(self._acks, set(reporting))
        self._summaries = _retain(self._summaries, set(collectors))

    def summarize(self, version, members):
        """Return this collector's ``ConfigurationSummary``.

        Parameters
        ==========
        version : int
        members : iterable of Member
            Live hosts that report to this one. A host whose current incarnation has not
            acknowledged lags, regardless of what its previous incarnation acknowledged.
        """
        lagging = []
        confirmed = 0
        for member in members:
            ack = self._acks.get(member.address)
            same_incarnation = ack is not None and ack.incarnation == member.incarnation
            if same_incarnation and ack.version >= version:
                confirmed += 1
            else:
                lagging.append(member.address)
        return ConfigurationSummary(
            address=self._address,
            version=version,
            confirmed=confirmed,
            lagging=tuple(lagging[:MAX_LAGGING_LISTED]),
            lagging_count=len(lagging),
        )

    def report(self, version, collectors):
        """Return the ``InForceReport`` computed from the collectors' summaries."""
        reported = []
        unreported_collectors = []
        for address in collectors:
            summary = self._summaries.get(address)
            if summary is None or summary.version < version:
                unreported_collectors.append(address)
            else:
                reported.append(summary)
        lagging = [address for item in reported for address in item.lagging]
        return InForceReport(
            version=version,
            confirmed=sum(item.confirmed for item in reported),
            lagging=tuple(lagging[:MAX_LAGGING_LISTED]),
            lagging_count=sum(item.lagging_count for item in reported),
            unreported_collectors=tuple(unreported_collectors),
        )


def _retain(entries, keys):
    return {key: value for key, value in entries.items() if key in keys}
