"""Command line: ``python -m hemlockhoist.standins.service``."""

import click

from hemlockhoist.standins.service.app import ServiceStandin
from hemlockhoist.standins.serving import Server, run


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="IP:port.")
@click.option("--version", default="v1", help="Version that the service runs.")
@click.option("--work-ms", default=5, help="How long a call takes.")
def main(listen, version, work_ms):
    """Serve a simulated plain service until SIGTERM."""

    def build(address):
        standin = ServiceStandin.from_config(version=version, work_ms=work_ms)
        standin.server = Server.from_config(standin.application(), address)
        return standin.server

    run(build, listen)


if __name__ == "__main__":
    main()
