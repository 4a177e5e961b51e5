"""Selection of the hosts that read the store and relay its rows to the others."""

from hemlockhoist.decisions.membership import high_capacity_members, rank_members

# Up to this number of hosts, each reads the store itself. A host's feeds are some calls
# per minute; at twelve hosts they cost less than the latency that relaying would add.
MAX_DIRECT_READERS = 12
READER_RANK = "store readers"
# Hosts of a failure domain that are asked after its reader, before the store is.
MAX_DEPUTIES = 2


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


def announcement_order(members, own):
    """Return when a host announces a change of the store, and to whom.

    Load it is made for: several hosts read the same change from the store at once, and
    one announcement to those that read the store is enough.

    Parameters
    ==========
    members : sequence of Member
        Members that are not gone.
    own : Member
        The host itself.

    Returns
    =======
    (int, tuple of str)
        How many hosts announce before it, and the addresses of the other hosts that
        read the store.
    """
    readers = list(find_readers(members).values()) or list(members)
    addresses = sorted(member.address for member in readers)
    others = tuple(address for address in addresses if address != own.address)
    turn = sum(address < own.address for address in others)
    # A host that reads for itself only does so because the readers have failed.
    return (turn if len(others) < len(addresses) else 0), others


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

    __slots__ = ("_members", "_order", "_own", "_readers")

    def __init__(self, members, own):
        self._members = members
        self._own = own
        self._readers = find_readers(members)
        self._order = None

    @property
    def is_reader(self):
        """Whether the host reads the store itself while it has it."""
        return not self._readers or self._own in self._readers.values()

    def reader(self, avoid=frozenset()):
        """Return the reader that the host uses, or None if it reads the store itself.

        Failure prevented: in a fleet whose hosts all read the store, it rejects one of
        them, which hears of a change only by chance.

        Parameters
        ==========
        avoid : collection of str, optional
            Addresses of readers that have recently failed; if the reader of the host's
            own domain is among them, that of another domain is used. The host itself is
            among them while the store rejects it.
        """
        if self.is_reader and self._own.address not in avoid:
            return None
        readers = self._readers.values() or self._members
        available = [item for item in readers if item.address not in avoid]
        if not available:
            return None
        domain = self._own.failure_domain
        local = [item for item in available if item.failure_domain == domain]
        return rank_members(local or available, self._own.address)[0]

    def deputy(self, avoid):
        """Return the host that reads the store in place of failed readers, or None.

        Load it is made for: the store rejects the readers, and all hosts of a failure
        domain would read each change from it, whole.

        None is returned if that is the host itself, or if several deputies have failed
        too, as the store then rejects most hosts, or is away.

        Parameters
        ==========
        avoid : collection of str
            Addresses of readers and deputies that have recently failed.
        """
        left = self._takeover_order(avoid)
        failed_count = len(self._order) - len(left)
        if not self._readers or failed_count > MAX_DEPUTIES or not left:
            return None
        return None if left[0] == self._own else left[0]

    def takeover_rank(self, avoid=frozenset()):
        """Return how many hosts of its failure domain are to read all rows before it.

        Load it is made for: the readers have failed, the store has dropped its history,
        and each of the other hosts would read whole tables at the same moment.

        Parameters
        ==========
        avoid : collection of str, optional
            As of ``deputy``.
        """
        left = self._takeover_order(avoid)
        return left.index(self._own) if self._own in left else len(left)

    def _takeover_order(self, avoid):
        """Return the members of the host's failure domain, first those with capacity."""
        if self._order is None:
            capable = {item.address for item in high_capacity_members(self._members)}
            domain = self._own.failure_domain
            local = [item for item in self._members if item.failure_domain == domain]
            self._order = rank_members(local, READER_RANK)
            self._order.sort(key=lambda member: member.address not in capable)
        return [member for member in self._order if member.address not in avoid]
