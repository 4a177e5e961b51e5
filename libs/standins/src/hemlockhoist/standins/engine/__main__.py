"""Command line: ``python -m hemlockhoist.standins.engine``."""

import click

from hemlockhoist.standins.engine.app import EngineStandin
from hemlockhoist.standins.engine_model import GENERATIONS
from hemlockhoist.standins.serving import Server, run


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="IP:port.")
@click.option("--version", default="v1", help="Version that the engine runs.")
@click.option(
    "--generation",
    default="g3",
    type=click.Choice(sorted(GENERATIONS)),
    help="Hardware generation, which sets the speed.",
)
@click.option(
    "--checks-fencing/--ignores-fencing",
    default=True,
    help="Whether orders with an outdated fencing token are refused.",
)
@click.option("--load-ms", default=0, help="How long loading a version takes.")
def main(listen, version, generation, checks_fencing, load_ms):
    """Serve a simulated model engine until SIGTERM."""

    def build(address):
        standin = EngineStandin.from_config(
            GENERATIONS[generation],
            version=version,
            checks_fencing=checks_fencing,
            load_ms=load_ms,
        )
        standin.server = Server.from_config(standin.application(), address)
        return standin.server

    run(build, listen)


if __name__ == "__main__":
    main()
