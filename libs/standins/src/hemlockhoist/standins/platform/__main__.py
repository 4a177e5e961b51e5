"""Command line: ``python -m hemlockhoist.standins.platform``."""

import click

from hemlockhoist.standins.platform.app import PlatformStandin
from hemlockhoist.standins.serving import Server, run


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="IP:port.")
@click.option("--hosts-lag-ms", default=0, help="Delay of changes to the host list.")
@click.option(
    "--weights-per-second", default=5.0, help="Rate limit of the weight store."
)
def main(listen, hosts_lag_ms, weights_per_second):
    """Serve a simulated platform until SIGTERM."""

    def build(address):
        standin = PlatformStandin.from_config(
            hosts_lag_ms=hosts_lag_ms, weights_per_second=weights_per_second
        )
        return Server.from_config(standin.application(), address)

    run(build, listen)


if __name__ == "__main__":
    main()
