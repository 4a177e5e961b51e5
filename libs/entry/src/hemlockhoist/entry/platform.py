"""The interface between an entry host and the platform that it runs on."""

import abc


class Platform(abc.ABC):
    """The adapter to a platform: its names, formats and calls.

    Attributes
    ==========
    wire : WireFormat
    store : RowStore
        Started and closed by the host.
    config_table, config_key : str
        Table and key of the declared routes.
    upstream_table : str
    host_table : str
        The hosts' own table, in which they register.
    usage_table : str
        The hosts' own table, in which homes record the usage of customers.
    quarantine_table : str
        The hosts' own table, in which homes record parts of prompts that crash
        upstreams.
    readiness_path, directory_path : str
    """

    @abc.abstractmethod
    def decode_routes(self, value):
        """Return the ``RouteTable`` encoded in the row of the declared routes.

        Raises
        ======
        DeclarationError
        """

    @abc.abstractmethod
    def decode_upstream(self, row, now_ms):
        """Return the ``Upstream`` of a row, or None if the row describes none.

        Parameters
        ==========
        row : StoreRow
        now_ms : int
            Time at which the row was read.
        """

    @abc.abstractmethod
    def decode_order(self, row):
        """Return the ``MoveOrder`` of a row of the routes' table, or None."""

    @abc.abstractmethod
    def decode_domain_order(self, row):
        """Return the ``DomainOrder`` of such a row, also if it is removed, or None."""

    @abc.abstractmethod
    def order_status(self, order, state):
        """Return the ``RowChange`` that reports an order's state to the operators.

        Parameters
        ==========
        order : MoveOrder
        state : MoveOrderState
        """

    @abc.abstractmethod
    def parse_directory_query(self, query):
        """Return the ``DirectoryQuery`` of a URL query."""

    @abc.abstractmethod
    def directory_body(self, addresses, ttl_ms):
        """Return the body of a directory response with the hosts to use."""
