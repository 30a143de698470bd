"""The `peridotsilld` command."""

import signal
import sys
import threading
import typing

import eliot
import peridotsill
import peridotsill.exceptions
import typer

from peridotsill_node import _node

_EXIT_INVALID_SETTINGS = 2
_EXIT_BIND_FAILED = 3

app = typer.Typer(
    add_completion=True,
    help="Run one node of the fleet capacity and maintenance manager.",
)


@app.command()
def check(
    file: typing.Annotated[str, typer.Argument(help="The settings file.")],
) -> None:
    """Check a settings file; print every problem and exit with 2 if any."""
    _load_settings(file)
    typer.echo(f"{file}: good")


@app.command()
def run(
    file: typing.Annotated[str, typer.Argument(help="The settings file.")],
) -> None:
    """Serve until SIGTERM or SIGINT, then stop without aborting requests."""
    settings, token = _load_settings(file)
    _configure_logging(settings.log_file)
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    sys.setswitchinterval(0.001)
    peridotsill.return_large_blocks()
    try:
        with _node.running(settings, token):
            stop.wait()
    except OSError as error:
        typer.echo(f"can't listen: {error}", err=True)
        raise typer.Exit(_EXIT_BIND_FAILED) from error


def _load_settings(file: str) -> tuple[peridotsill.Settings, str]:
    try:
        settings = peridotsill.load_settings(file)
        token = peridotsill.load_token(settings.token_file)
    except peridotsill.exceptions.SettingsError as error:
        for problem in error.problems:
            typer.echo(f"{file}: {problem}", err=True)
        raise typer.Exit(_EXIT_INVALID_SETTINGS) from error
    return settings, token


def _configure_logging(path: str) -> None:
    # The file stays open for the life of the process.
    target = sys.stderr if path == "-" else open(path, "a", buffering=1)
    eliot.to_file(target)


def daemon_main() -> None:
    """Run the `peridotsilld` command line."""
    app()
