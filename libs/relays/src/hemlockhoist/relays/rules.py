"""What a host checks before it relays a request of another one."""

from hemlockhoist.decisions.entry import RelayCause


class RelayRules:
    """The rules of a host that takes part; surfaces override what they know more of.

    Parameters
    ==========
    context : HostContext or EntryContext
    """

    __slots__ = ("_context",)

    def __init__(self, context):
        self._context = context

    def refusal(self, offer):
        """Return the ``RelayCause`` for which a request is not relayed, or None.

        Parameters
        ==========
        offer : RelayOffer
        """
        return RelayCause.LEAVING if self._context.leaving else None

    def check_send(self, offer):
        """Check that a request may be sent to its upstream now.

        Parameters
        ==========
        offer : RelayOffer

        Raises
        ======
        Refused
        """

    def on_head(self, offer, head):
        """Record what the head of an answer says about the upstream to this host.

        Parameters
        ==========
        offer : RelayOffer
        head : RelayedHead
        """

    def on_begin(self, offer):
        """Count a relayed request among those that a planned stop waits for.

        Called in the same iteration of the event loop as ``refusal``.

        Parameters
        ==========
        offer : RelayOffer
        """
        self._context.open_requests += 1

    def on_end(self, offer):
        """Stop counting a relayed request.

        Parameters
        ==========
        offer : RelayOffer
        """
        self._context.open_requests -= 1
