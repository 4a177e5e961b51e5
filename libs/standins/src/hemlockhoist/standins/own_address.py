"""Runs a module of the product whose connections come from an IP address of their own.

Stand-ins on one machine tell by it which host a connection is of, so that they can cut
single hosts off. Usage: ``python -m hemlockhoist.standins.own_address IP MODULE [ARG]…``.
"""

import runpy
import sys

from hemlockhoist.upstreams import DirectConnector


def bind_connections(ip):
    """Let all connections of this process to upstreams and the store come from an IP."""

    async def open_from_address(connector, factory, target_ip, port):
        return await connector._loop.create_connection(
            factory, target_ip, port, local_addr=(ip, 0)
        )

    DirectConnector.open = open_from_address


def main():
    """Run the module named on the command line."""
    _, ip, module, *arguments = sys.argv
    bind_connections(ip)
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
