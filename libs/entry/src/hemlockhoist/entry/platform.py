"""What an entry host asks of the platform that it runs on."""

import abc


class Platform(abc.ABC):
    """The adapter to a platform: names, formats and calls.

    Attributes
    ==========
    wire : WireFormat
    store : RowStore
        Started and closed by the host.
    config_table, config_key : str
        The row of the declared routes.
    upstream_table : str
    host_table : str
        Where hosts enter themselves; their own.
    usage_table : str
        Where homes keep what customers have spent; their own.
    readiness_path, directory_path : str
    """

    @abc.abstractmethod
    def decode_routes(self, value):
        """Return the ``RouteTable`` of the declared routes' row.

        Raises
        ======
        DeclarationError
        """

    @abc.abstractmethod
    def decode_upstream(self, row, now_ms):
        """Return the ``Upstream`` of a row, or None where it names none.

        Parameters
        ==========
        row : StoreRow
        now_ms : int
            When it was read.
        """

    @abc.abstractmethod
    def decode_order(self, row):
        """Return the ``MoveOrder`` of a row beside the declared routes, or None."""

    @abc.abstractmethod
    def decode_domain_order(self, row):
        """Return the ``DomainOrder`` of such a row, dropped ones included, or None."""

    @abc.abstractmethod
    def order_status(self, order, state):
        """Return the ``RowChange`` that tells the operators where an order stands.

        Parameters
        ==========
        order : MoveOrder
        state : OrderState
        """

    @abc.abstractmethod
    def parse_directory_query(self, query):
        """Return the ``DirectoryQuery`` of a question's query."""

    @abc.abstractmethod
    def directory_body(self, addresses, ttl_ms):
        """Return the body that tells callers which hosts to use."""
